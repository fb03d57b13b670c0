//! Rendering.

use cicadagw_finding::Findings;
use miette::NarratableReportHandler;

use crate::diagnostic::Report;
use crate::mask::mask;

/// Returns `findings`, which were made in `text`, as a report for people.
///
/// The lines are shown without the values of secrets.
pub fn render(findings: &Findings, text: &str) -> String {
    let mut report = String::new();
    NarratableReportHandler::new()
        .render_report(&mut report, &Report::new(findings, &mask(text)))
        .expect("a text can be written to");
    report
}
