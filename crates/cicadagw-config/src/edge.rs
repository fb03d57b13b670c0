//! What callers may send.

use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::Span;

/// What callers may send to a node, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Edge {
    /// The largest request body.
    pub body: Bytes,
    /// How long the head of a request may take.
    pub header_timeout: Span,
    /// The largest head of a request.
    pub headers: Bytes,
    /// How long a connection may be idle.
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
    /// Tells whether these are the defaults, which no declaration names.
    pub(crate) fn is_default(&self) -> bool {
        *self == Self::default()
    }
}
