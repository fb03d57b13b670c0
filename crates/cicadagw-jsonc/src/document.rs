//! Parsing and conversion of documents.

use cicadagw_finding::{Finding, Findings, Location};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::Reader;
use crate::reader::Context;

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
    let context = Context::new(source, text);
    let options = ParseOptions {
        allow_missing_commas: false,
        allow_loose_object_property_names: false,
        ..ParseOptions::default()
    };
    match parse_to_ast(text, &CollectOptions::default(), &options) {
        Ok(result) => match &result.value {
            Some(value) => {
                let converted = convert(&Reader::new(&context, value));
                finish(context.into_findings(), converted, source)
            }
            None => Err(single(source, text, 0, "the document is empty".to_owned())),
        },
        Err(error) => Err(single(
            source,
            text,
            error.range().start,
            error.kind().to_string(),
        )),
    }
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
