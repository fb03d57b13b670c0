//! The listeners of a node.

use cicadagw_http::Fields;

use crate::header;

/// Who comes in by a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    /// Callers and other nodes, told apart by what they send.
    Calls,
    /// Callers alone.
    Callers,
    /// Other nodes alone.
    Nodes,
    /// Backend servers of this host that announce themselves.
    Announcements,
    /// Those who ask whether the node takes calls.
    Ready,
}

impl Kind {
    /// Tells whether a request with `fields` was routed by another node.
    pub(crate) fn is_from_node(self, fields: &Fields) -> bool {
        match self {
            Self::Calls => fields.has(header::ENDPOINT),
            Self::Nodes => true,
            Self::Announcements | Self::Callers | Self::Ready => false,
        }
    }
}
