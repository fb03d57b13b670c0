//! Whole documents.

use cicadagw_finding::{Finding, Findings, Location};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::Reader;
use crate::reader::Context;

/// Reads `text`, which came from `source`, by way of `take`.
///
/// # Errors
///
/// All findings of `take`, or the one place at which the text is no JSON with comments.
pub fn read<T>(
    source: &str,
    text: &str,
    take: impl FnOnce(&Reader<'_, '_>) -> Option<T>,
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
                let taken = take(&Reader::new(&context, value));
                finish(context.into_findings(), taken, source)
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

/// Returns what was taken when nothing was found.
fn finish<T>(mut findings: Findings, taken: Option<T>, source: &str) -> Result<T, Findings> {
    if taken.is_none() && findings.is_empty() {
        findings = single(source, "", 0, "the document cannot be used".to_owned());
    }
    match taken {
        Some(value) => findings.into_result(value),
        None => Err(findings.into_result(()).err().unwrap_or_default()),
    }
}

/// Returns findings that hold one finding.
fn single(source: &str, text: &str, offset: usize, message: String) -> Findings {
    let mut findings = Findings::default();
    findings.push(Finding {
        location: Location::of(source, text, offset),
        message,
        help: None,
    });
    findings
}
