//! Rendering.

use cicadagw_finding::Findings;
use miette::{GraphicalReportHandler, GraphicalTheme};

use crate::Report;

/// How many characters a line of a report has at the most, but for those that show a text.
const WIDTH: usize = 100;

/// Returns `findings`, which were made in `text`, as a report for people, without colours.
pub fn render(findings: &Findings, text: &str) -> String {
    let mut rendered = String::new();
    GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor())
        .with_width(WIDTH)
        .render_report(&mut rendered, &Report::new(findings, text))
        .expect("a text can be written to");
    rendered
}
