//! Limits at the edge, where callers connect.

use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::Span;

/// The size and time limits that a node applies to the connections and requests of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Edge {
    /// The maximum size of a request body.
    pub body: Bytes,
    /// The time within which a caller must send the head of a request.
    pub header_timeout: Span,
    /// The maximum size of a request head.
    pub headers: Bytes,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Span,
}

impl Default for Edge {
    fn default() -> Self {
        Self {
            body: Bytes::new(1 << 30),
            header_timeout: Span::seconds(10),
            headers: Bytes::new(32 << 10),
            idle_timeout: Span::seconds(75),
        }
    }
}

impl Edge {
    /// Returns whether all limits have their defaults, which are omitted from rendered and
    /// serialized configurations.
    pub(crate) fn is_default(&self) -> bool {
        *self == Self::default()
    }
}
