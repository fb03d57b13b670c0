//! The settings of a node.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use bon::Builder;
use cicadagw_unit::rate::Throughput;
use cicadagw_unit::size::{Bytes, Hops, Slots};
use cicadagw_unit::time::Span;
use cicadagw_unit::{Error, id};
use compact_str::CompactString;
use smallvec::SmallVec;

use crate::Level;

/// All settings of a node.
#[derive(Builder, Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The address that serves the admin pages.
    pub admin: SocketAddr,
    /// The bearer token that requests for admin pages must present; required unless the pages are on
    /// a loopback address.
    #[serde(skip_serializing)]
    pub admin_token: Option<CompactString>,
    /// The address at which backend servers of this host announce themselves.
    pub announce: SocketAddr,
    /// Limits on children, hops and snapshot transfers.
    #[builder(default)]
    pub budget: Budget,
    /// The address that accepts calls: with `peering`, only those of callers on the host; without
    /// it, also those of other nodes.
    pub calls: SocketAddr,
    /// The failure domain of the host.
    pub domain: id::Domain,
    /// The address that accepts links from other nodes.
    pub link: SocketAddr,
    /// The least severe level that is logged.
    #[builder(default)]
    pub log: Level,
    /// The name of the node, unique in the fleet.
    pub node: id::Node,
    /// The settings of gossip between nodes that find each other through the platform's list of
    /// nodes; without it, the nodes form a tree below the platform.
    pub peering: Option<Peering>,
    /// The addresses of the platform's object API, tried in order.
    pub platform: SmallVec<[SocketAddr; 2]>,
    /// The rack of the host.
    pub rack: id::Rack,
    /// The region of the host.
    pub region: id::Region,
    /// The link addresses of some nodes of the failure domain, used while the platform is
    /// unreachable.
    #[builder(default)]
    pub seeds: SmallVec<[SocketAddr; 4]>,
    /// Intervals and timeouts.
    #[builder(default)]
    pub timing: Timing,
}

/// The settings of a node that finds and contacts others through the platform's list of nodes.
#[derive(Builder, Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Peering {
    /// The dialect of callers, backend servers and the platform.
    pub dialect: Dialect,
    /// Whether this node has no earlier registration.
    pub first_start: bool,
    /// The bandwidth of the host's network interface.
    pub link_rate: Throughput,
    /// The address that serves metrics.
    pub metrics: SocketAddr,
    /// The address that accepts calls from other nodes; the node's gossip record publishes it as
    /// `calls`.
    pub nodes: SocketAddr,
    /// The address that reports whether the node accepts calls.
    pub ready: SocketAddr,
    /// The number of retries that all nodes together may make for a service in addition to a share
    /// of its calls.
    pub retry_slack: u32,
    /// The time after which a revoked key is not accepted anywhere, if there is such a limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revocation: Option<Span>,
    /// Whether operators order rollouts of releases.
    #[builder(default)]
    #[serde(default)]
    pub rollouts: bool,
    /// The service of the host's backend server.
    pub service: id::Service,
}

impl Peering {
    /// The bandwidth of the host's network interface if the settings state none, 1,000 Mbit/s.
    pub const LINK_RATE_DEFAULT: Throughput = Throughput::new(125_000_000);
}

/// A set of conventions that callers, backend servers and the platform follow: their formats, names
/// and calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Dialect {
    /// The conventions of the platform of Kalavara Crockworks.
    Crockworks,
}

impl fmt::Display for Dialect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Crockworks => "crockworks",
        })
    }
}

impl FromStr for Dialect {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "crockworks" => Ok(Self::Crockworks),
            _ => Err(Error::new("dialect", text, "`crockworks`")),
        }
    }
}

/// The number of bytes in a megabyte.
pub(crate) const BYTES_PER_MB: u64 = 1_000_000;

/// Limits on descriptors, memory, children, hops and snapshot transfers of a node.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Budget {
    /// The number of file descriptors that the process may open, if it is not that of the system.
    pub descriptors: Option<Slots>,
    /// The maximum number of children of a node.
    pub fanout: Slots,
    /// The maximum number of hops from node to node that a call may have made.
    pub hops: Hops,
    /// The memory of the host that the process may use.
    pub memory: Bytes,
    /// The maximum number of complete snapshots that a node sends concurrently.
    pub whole_syncs: Slots,
}

/// Intervals and timeouts of a node.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// The time for calls in flight to finish when the node stops.
    pub drain: Span,
    /// The interval of the heartbeats between parent and child.
    pub heartbeat: Span,
    /// The validity of a root's lease without renewal.
    pub lease: Span,
    /// The time without renewal after which a backend server counts as gone.
    pub renewal: Span,
    /// The minimum interval between two status writes of a failure domain.
    pub status: Span,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            descriptors: None,
            fanout: Slots::new(8),
            hops: Hops::new(44),
            memory: Bytes::new(88 * BYTES_PER_MB),
            whole_syncs: Slots::new(8),
        }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            drain: Span::seconds(30),
            heartbeat: Span::seconds(2),
            lease: Span::seconds(6),
            renewal: Span::seconds(3),
            status: Span::seconds(1),
        }
    }
}

impl Timing {
    /// The number of heartbeats that may be missed before a peer counts as gone.
    pub const MAX_MISSED_HEARTBEATS: u64 = 3;

    /// Returns the time without a message after which a peer counts as gone.
    pub const fn peer_timeout(&self) -> Span {
        self.heartbeat.times(Self::MAX_MISSED_HEARTBEATS)
    }
}
