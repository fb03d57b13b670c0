//! How a call ended, as its caller sees it.

use awc::http::StatusCode;
use awc::http::header::{CONTENT_LENGTH, HeaderMap};

use crate::backend::Answer;

/// The header by which a node says how a call ended.
pub const OUTCOME_HEADER: &str = "x-cicadagw-outcome";

/// The header by which a node says why a call was not answered.
pub(crate) const REASON: &str = "x-cicadagw-reason";

/// How a call ended.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The whole answer to this call came.
    Answered,
    /// The answer is shorter than it says.
    #[serde(rename = "cut")]
    Truncated,
    /// No answer came.
    #[serde(rename = "lost")]
    NoResponse,
    /// The answer is another call's.
    #[serde(rename = "mixed")]
    Mismatched,
    /// The node says that the request did not run.
    NotRun,
    /// The answer has an error status and names no outcome.
    #[serde(rename = "refused")]
    ErrorStatus,
    /// The node says that the request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Judges the answer to `request`, which was to have at least `least` bytes.
    pub(crate) fn of(
        request: &str,
        least: usize,
        status: StatusCode,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Self {
        match text(headers, OUTCOME_HEADER) {
            Some("not-run") => return Self::NotRun,
            Some("unknown") => return Self::Unknown,
            _ => {}
        }
        if !status.is_success() {
            return Self::ErrorStatus;
        }
        let declared = text(headers, CONTENT_LENGTH.as_str()).and_then(|text| text.parse().ok());
        if body.len() < least || declared.is_some_and(|declared: usize| declared != body.len()) {
            return Self::Truncated;
        }
        match Answer::of_body(body) {
            Some(answer) if answer.request == request => Self::Answered,
            Some(_) => Self::Mismatched,
            None => Self::Truncated,
        }
    }
}

pub(crate) fn text<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}
