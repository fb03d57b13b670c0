//! What a call is answered with.

use cicadagw_unit::id;
use compact_str::CompactString;

/// The header by which callers name their requests.
pub const REQUEST_ID: &str = "x-request-id";

/// The header that asks for an answer of at least so many bytes.
pub const ANSWER_BYTES: &str = "x-answer-bytes";

/// The header that asks for a chunked answer, whatever its value.
pub const ANSWER_CHUNKED: &str = "x-answer-chunked";

/// The first line of every answer; filler follows when more bytes were asked for.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// Who answers.
    pub endpoint: id::Endpoint,
    /// How often this request has run here, this time included.
    pub executions: u32,
    /// How many bytes the request's body had.
    pub received: usize,
    /// The request's id, as it came.
    pub request: CompactString,
    /// The service.
    pub service: id::Service,
}

impl Answer {
    /// Returns the first line, with its end.
    pub fn line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).expect("an answer can be written as JSON");
        line.push(b'\n');
        line
    }

    /// Reads the first line of `body`.
    pub fn of_body(body: &[u8]) -> Option<Self> {
        let end = body.iter().position(|byte| *byte == b'\n')?;
        serde_json::from_slice(&body[..end]).ok()
    }
}
