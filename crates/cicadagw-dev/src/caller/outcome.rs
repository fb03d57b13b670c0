//! The outcome of a call, as its caller sees it.

use awc::http::StatusCode;
use awc::http::header::{CONTENT_LENGTH, HeaderMap};

use crate::backend::Echo;

/// The response header with the outcome of a call that a node reports.
pub const OUTCOME_HEADER: &str = "x-cicadagw-outcome";

/// The response header with the reason why a node responds instead of a backend server.
pub(crate) const REASON_HEADER: &str = "x-cicadagw-reason";

/// The outcome of a call.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A complete response to this call arrived, with a success status.
    Answered,
    /// The response body does not have the length declared by `content-length`, is shorter than
    /// requested, or does not begin with a complete [`Echo`].
    #[serde(rename = "cut")]
    Truncated,
    /// No response arrived: the connection failed or the call timed out.
    #[serde(rename = "lost")]
    NoResponse,
    /// The response belongs to another call.
    #[serde(rename = "mixed")]
    Mismatched,
    /// The node reports that the request was not executed.
    #[serde(rename = "not-run")]
    NotExecuted,
    /// The response has an error status, and the node reports neither [`Outcome::NotExecuted`] nor
    /// [`Outcome::Unknown`].
    #[serde(rename = "refused")]
    ErrorStatus,
    /// The node reports that the request may or may not have been executed.
    Unknown,
}

impl Outcome {
    /// Classifies the response to the request with the id `request_id`, whose body must have at
    /// least `min_bytes` bytes.
    pub(crate) fn classify(
        request_id: &str,
        min_bytes: usize,
        status: StatusCode,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Self {
        match header(headers, OUTCOME_HEADER) {
            Some("not-run") => return Self::NotExecuted,
            Some("unknown") => return Self::Unknown,
            _ => {}
        }
        if !status.is_success() {
            return Self::ErrorStatus;
        }
        let declared = header(headers, CONTENT_LENGTH.as_str()).and_then(|text| text.parse().ok());
        if body.len() < min_bytes || declared.is_some_and(|declared: usize| declared != body.len())
        {
            return Self::Truncated;
        }
        match Echo::from_body(body) {
            Some(echo) if echo.request == request_id => Self::Answered,
            Some(_) => Self::Mismatched,
            None => Self::Truncated,
        }
    }
}

/// Returns the value of the header `name`, if it is text.
pub(crate) fn header<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}
