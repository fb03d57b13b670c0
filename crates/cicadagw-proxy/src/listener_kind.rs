//! The kinds of listeners of a node.

use cicadagw_http::Fields;

use crate::header;

/// The clients that a listener serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ListenerKind {
    /// Local callers and other nodes, told apart by the header fields.
    Calls,
    /// Local callers only.
    Callers,
    /// Other nodes only.
    Nodes,
    /// Local backend servers that announce themselves.
    Announcements,
    /// Readiness checks.
    Ready,
}

impl ListenerKind {
    /// Returns whether a request with `fields` was routed by another node.
    pub(crate) fn is_from_node(self, fields: &Fields) -> bool {
        match self {
            Self::Calls => fields.has(header::ENDPOINT),
            Self::Nodes => true,
            Self::Announcements | Self::Callers | Self::Ready => false,
        }
    }
}
