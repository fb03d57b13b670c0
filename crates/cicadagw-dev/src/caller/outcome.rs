//! The outcome of a call, as its caller sees it.

use awc::http::StatusCode;
use awc::http::header::{CONTENT_LENGTH, HeaderMap};

use crate::backend::Echo;

/// The response header with the outcome of a call that a node reports.
pub const OUTCOME_HEADER: &str = "x-cicadagw-outcome";

/// The response header with the reason why a node did not answer a call.
pub(crate) const REASON_HEADER: &str = "x-cicadagw-reason";

/// The outcome of a call.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The complete response to this call arrived.
    Answered,
    /// The response body is shorter than announced or requested, or does not begin with a complete
    /// [`Echo`].
    #[serde(rename = "cut")]
    Truncated,
    /// No response arrived: the connection failed or the call timed out.
    #[serde(rename = "lost")]
    NoResponse,
    /// The response belongs to another call.
    #[serde(rename = "mixed")]
    Mismatched,
    /// The node reports that the request was not executed.
    NotRun,
    /// The response has an error status, and the node reports neither [`Outcome::NotRun`] nor
    /// [`Outcome::Unknown`].
    #[serde(rename = "refused")]
    ErrorStatus,
    /// The node reports that the request may or may not have been executed.
    Unknown,
}

impl Outcome {
    /// Classifies the response to `request`, whose body is to have at least `min_bytes` bytes.
    pub(crate) fn classify(
        request: &str,
        min_bytes: usize,
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
        if body.len() < min_bytes || declared.is_some_and(|declared: usize| declared != body.len())
        {
            return Self::Truncated;
        }
        match Echo::from_body(body) {
            Some(echo) if echo.request == request => Self::Answered,
            Some(_) => Self::Mismatched,
            None => Self::Truncated,
        }
    }
}

/// Returns the value of the header `name`, if it is text.
pub(crate) fn text<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}
