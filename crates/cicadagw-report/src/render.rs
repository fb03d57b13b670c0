//! Rendering of reports as plain text.

use cicadagw_finding::Findings;
use miette::{GraphicalReportHandler, GraphicalTheme};

use crate::Report;

/// The width in characters to which a report is wrapped; source lines are not wrapped.
const WIDTH: usize = 100;

/// Renders a report on `findings` in `text`, without colours.
pub fn render(findings: &Findings, text: &str) -> String {
    let mut rendered = String::new();
    GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor())
        .with_width(WIDTH)
        .render_report(&mut rendered, &Report::new(findings, text))
        .expect("writing to a string cannot fail");
    rendered
}
