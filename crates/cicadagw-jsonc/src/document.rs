//! Parsing and conversion of documents.

use cicadagw_finding::{Finding, Findings, Location};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::Reader;
use crate::reader::Context;

/// The reason why a document cannot be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The text is not a complete document, as while it is being written; one finding says where.
    Syntax(Findings),
    /// The document is complete, and its content has findings.
    Content(Findings),
}

impl Error {
    /// Returns the findings.
    pub fn into_findings(self) -> Findings {
        match self {
            Self::Syntax(findings) | Self::Content(findings) => findings,
        }
    }
}

/// Parses `text` and converts its root value with `convert`; `source` names the origin of the text
/// in findings.
///
/// # Errors
///
/// Fails with the first syntax error, or with all findings of `convert`; also if `convert` returns
/// `None` without a finding.
pub fn read<T>(
    source: &str,
    text: &str,
    convert: impl FnOnce(&Reader<'_, '_>) -> Option<T>,
) -> Result<T, Findings> {
    parse(source, text, convert).map_err(Error::into_findings)
}

/// Like [`read`], with an error that tells syntax errors from other findings.
///
/// # Errors
///
/// Fails like [`read`].
pub fn parse<T>(
    source: &str,
    text: &str,
    convert: impl FnOnce(&Reader<'_, '_>) -> Option<T>,
) -> Result<T, Error> {
    let options = ParseOptions {
        allow_missing_commas: false,
        allow_loose_object_property_names: false,
        ..ParseOptions::default()
    };
    let syntax = |offset, message| Error::Syntax(single(source, text, offset, message));
    let document = parse_to_ast(text, &CollectOptions::default(), &options)
        .map_err(|error| syntax(error.range().start, error.kind().to_string()))?;
    let Some(value) = &document.value else {
        return Err(syntax(0, "the document is empty".to_owned()));
    };
    let context = Context::new(source, text);
    let converted = convert(&Reader::new(&context, value));
    finish(context.into_findings(), converted, source).map_err(Error::Content)
}

/// Returns the converted value if there are no findings, and at least one finding otherwise.
fn finish<T>(mut findings: Findings, converted: Option<T>, source: &str) -> Result<T, Findings> {
    if converted.is_none() && findings.is_empty() {
        findings = single(source, "", 0, "the document is not valid".to_owned());
    }
    match converted {
        Some(value) => findings.into_result(value),
        None => Err(findings.into_result(()).err().unwrap_or_default()),
    }
}

/// Returns a collection of one finding at byte `offset` of `text`.
fn single(source: &str, text: &str, offset: usize, message: String) -> Findings {
    let mut findings = Findings::default();
    findings.push(Finding {
        location: Location::of(source, text, offset),
        message,
        help: None,
    });
    findings
}
