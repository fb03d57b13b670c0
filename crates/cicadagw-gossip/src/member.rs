//! Members: what a node says of itself.

use std::fmt;
use std::net::SocketAddr;

use cicadagw_unit::id;
use cicadagw_unit::size::Slots;

/// Which of two records of one node is newer: its later start, and within a start the higher number.
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
    /// When the node started, in milliseconds since the Unix epoch.
    pub u64,
    /// Counts what it said since then.
    pub u64,
);

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.0, self.1)
    }
}

/// What a node says of itself.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Member {
    /// The backend server of its host, once it has announced itself.
    pub backend: Option<Backend>,
    /// Where it takes the calls of other nodes.
    pub calls: SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Where it takes the messages of other nodes.
    pub gossip: SocketAddr,
    /// Whether it stops.
    pub is_leaving: bool,
    /// Its name.
    pub node: id::Node,
    /// Its region.
    pub region: id::Region,
    /// Which of two records is newer.
    pub stamp: Stamp,
}

/// The backend server of a node's host.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Backend {
    /// Its endpoint id.
    pub endpoint: id::Endpoint,
    /// Whether it takes new work.
    pub is_ready: bool,
    /// Its service.
    pub service: id::Service,
    /// How many requests it runs at once.
    pub slots: Slots,
}
