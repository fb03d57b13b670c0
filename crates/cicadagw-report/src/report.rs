//! Findings as `miette` diagnostics.

use std::fmt;

use cicadagw_finding::{Finding, Findings};
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};

use crate::mask::mask;
use crate::span::span;

/// The help text of a report.
const HELP: &str = "fix these findings and check again; nothing was changed";

/// A report on all findings in one text, with secrets masked in the lines that are shown.
#[derive(Debug)]
pub struct Report {
    source: String,
    entries: Vec<Entry>,
}

/// One finding and the masked text that it refers to.
#[derive(Debug)]
struct Entry {
    finding: Finding,
    label: LabeledSpan,
    text: NamedSource<String>,
}

impl Report {
    /// Creates a report on the `findings` in `text`.
    pub fn new(findings: &Findings, text: &str) -> Self {
        let text = &mask(text);
        let entries: Vec<Entry> = findings
            .as_slice()
            .iter()
            .map(|finding| Entry::new(finding, text))
            .collect();
        let source = entries
            .first()
            .map(|entry| entry.finding.location.source.to_string());
        Self {
            source: source.unwrap_or_default(),
            entries,
        }
    }

    /// Returns the findings of the report, without source lines.
    pub fn findings(&self) -> impl Iterator<Item = &Finding> {
        self.entries.iter().map(|entry| &entry.finding)
    }
}

impl Entry {
    fn new(finding: &Finding, text: &str) -> Self {
        let location = &finding.location;
        Self {
            finding: finding.clone(),
            label: LabeledSpan::new_with_span(Some("here".to_owned()), span(text, location)),
            text: NamedSource::new(&location.source, text.to_owned()),
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.entries.len() {
            1 => write!(f, "1 finding in {}", self.source),
            count => write!(f, "{count} findings in {}", self.source),
        }
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.finding.message)
    }
}

impl std::error::Error for Report {}

impl std::error::Error for Entry {}

impl Diagnostic for Report {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(HELP))
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        let entries = self.entries.iter().map(|entry| entry as &dyn Diagnostic);
        Some(Box::new(entries))
    }
}

impl Diagnostic for Entry {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        let help = self.finding.help.as_ref()?;
        Some(Box::new(help))
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(std::iter::once(self.label.clone())))
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.text)
    }
}
