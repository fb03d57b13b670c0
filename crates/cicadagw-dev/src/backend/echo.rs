//! The body of the response to a call, and the request headers that control it.

use cicadagw_unit::id;
use compact_str::CompactString;

/// The header with the id that the caller gave the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// The header with the minimum size of the response body, in bytes.
pub const RESPONSE_BYTES_HEADER: &str = "x-answer-bytes";

/// The header that asks for a chunked response, whatever its value.
pub const RESPONSE_CHUNKED_HEADER: &str = "x-answer-chunked";

/// The first line of every response body, as JSON: it names the endpoint and describes the request.
/// Padding follows if the request asked for more bytes.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Echo {
    /// The endpoint that executed the request.
    pub endpoint: id::Endpoint,
    /// The number of times that the endpoint has executed this request, this time included.
    pub executions: u32,
    /// The size of the request body, in bytes.
    pub received: usize,
    /// The id of the request, as received.
    pub request: CompactString,
    /// The service of the endpoint.
    pub service: id::Service,
}

impl Echo {
    /// Returns the line, with its line feed.
    pub fn line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).expect("an echo serializes to JSON");
        line.push(b'\n');
        line
    }

    /// Parses the first line of `body`; returns `None` if it is incomplete or of another form.
    pub fn from_body(body: &[u8]) -> Option<Self> {
        let end = body.iter().position(|byte| *byte == b'\n')?;
        serde_json::from_slice(&body[..end]).ok()
    }
}
