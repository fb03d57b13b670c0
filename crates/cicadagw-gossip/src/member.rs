//! Member records: what a node publishes about itself.

use std::fmt;
use std::net::SocketAddr;

use cicadagw_endpoint::Departures;
use cicadagw_unit::id;
use cicadagw_unit::rate::CallRate;
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

/// The latest plausible start time of a process, in milliseconds since the Unix epoch: the year 2200.
const START_MS_MAX: u64 = 7_258_118_400_000;

/// The largest plausible number of changes of one process.
const CHANGES_MAX: u64 = u32::MAX as u64;

impl Stamp {
    /// Returns whether a node may have published a record with this stamp. A record of another
    /// writer with a higher one could not be refuted by its owner.
    pub const fn is_plausible(self) -> bool {
        self.0 <= START_MS_MAX && self.1 <= CHANGES_MAX
    }

    /// Returns the stamp of the next change.
    pub(crate) const fn next(self) -> Self {
        if self.1 < CHANGES_MAX {
            Self(self.0, self.1 + 1)
        } else {
            Self(self.0 + 1, 0)
        }
    }
}

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
    /// The backend servers that have left the node's host. They outlive its process in the tables of
    /// the other nodes.
    #[serde(default, skip_serializing_if = "Departures::is_empty")]
    pub departures: Departures,
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

impl Member {
    /// Returns the size of the record within a message, in bytes.
    ///
    /// # Panics
    ///
    /// Never: every record serializes to JSON.
    pub(crate) fn encoded_size(&self) -> usize {
        let bytes = serde_json::to_vec(self).expect("a member record serializes to JSON");
        bytes.len() + 1
    }
}

/// The backend server on a node's host.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Backend {
    /// Its endpoint id.
    pub endpoint: id::Endpoint,
    /// Whether it accepts new requests.
    pub is_ready: bool,
    /// The rate of calls that it takes from the whole fleet, while it names one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<CallRate>,
    /// The release that it runs, if it names one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub release: Option<id::Release>,
    /// The service that it provides.
    pub service: id::Service,
    /// How many requests it can process concurrently.
    pub slots: Slots,
    /// When it started, in milliseconds since the Unix epoch; 0 if it does not say so.
    #[serde(default)]
    pub started_ms: u64,
}
