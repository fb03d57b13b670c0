//! Member records: what a node publishes about itself.

use std::fmt;
use std::net::SocketAddr;

use cicadagw_unit::id;
use cicadagw_unit::size::Slots;

/// Logical timestamp that orders the records of one node: by process start first, then by a counter
/// within that process.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
pub struct Stamp(
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub u64,
    /// Number of changes that the node has published since then.
    pub u64,
);

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.0, self.1)
    }
}

/// The record that a node publishes about itself.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Member {
    /// The backend server on the node's host; `None` before it announces itself, and after it has
    /// deregistered or its announcement has expired.
    pub backend: Option<Backend>,
    /// Address at which the node accepts proxied calls of other nodes: `peering.nodes` of its
    /// settings, not `calls`.
    pub calls: SocketAddr,
    /// Failure domain of the node.
    pub domain: id::Domain,
    /// UDP address at which the node receives gossip messages.
    pub gossip: SocketAddr,
    /// Whether the node is shutting down.
    pub is_leaving: bool,
    /// Name of the node.
    pub node: id::Node,
    /// Region of the node.
    pub region: id::Region,
    /// Timestamp that tells which of two records is newer.
    pub stamp: Stamp,
}

/// The backend server on a node's host.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Backend {
    /// Its endpoint id.
    pub endpoint: id::Endpoint,
    /// Whether it accepts new requests.
    pub is_ready: bool,
    /// The service that it provides.
    pub service: id::Service,
    /// How many requests it can process concurrently.
    pub slots: Slots,
}
