//! Settings.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use bon::Builder;
use cicadagw_unit::rate::Throughput;
use cicadagw_unit::size::{Hops, Slots};
use cicadagw_unit::time::Span;
use cicadagw_unit::{Error, id};
use compact_str::CompactString;
use smallvec::SmallVec;

use crate::Level;

/// The settings of a node.
#[derive(Builder, Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where the admin pages are served.
    pub admin: SocketAddr,
    /// What a request for an admin page must present when the pages are not on a loopback address.
    #[serde(skip_serializing)]
    pub admin_token: Option<CompactString>,
    /// Where backend servers of this host announce themselves.
    pub announce: SocketAddr,
    /// Limits on what the node holds and sends.
    #[builder(default)]
    pub budget: Budget,
    /// Where calls are taken.
    pub calls: SocketAddr,
    /// The failure domain.
    pub domain: id::Domain,
    /// Where links from other nodes are taken.
    pub link: SocketAddr,
    /// The least severe log level that is written.
    #[builder(default)]
    pub log: Level,
    /// The name of the node.
    pub node: id::Node,
    /// How the node finds and meets others where the platform lists the nodes; without it, nodes form
    /// a tree.
    pub peering: Option<Peering>,
    /// Where the platform's object API answers.
    pub platform: SmallVec<[SocketAddr; 2]>,
    /// The rack.
    pub rack: id::Rack,
    /// The region.
    pub region: id::Region,
    /// Link addresses of some nodes of the failure domain, for when the platform is away.
    #[builder(default)]
    pub seeds: SmallVec<[SocketAddr; 4]>,
    /// Periods and waits.
    #[builder(default)]
    pub timing: Timing,
}

/// How a node finds and meets others where the platform lists the nodes.
#[derive(Builder, Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Peering {
    /// What callers, backend servers and the platform speak.
    pub dialect: Dialect,
    /// Whether nothing of this node was registered before.
    pub first_start: bool,
    /// What the link of the host carries.
    pub link_rate: Throughput,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Where the calls of other nodes are taken.
    pub nodes: SocketAddr,
    /// Where others ask whether the node takes calls.
    pub ready: SocketAddr,
    /// How many retries all nodes together may make for a service besides the share of its calls.
    pub retry_slack: u32,
    /// The service of the host.
    pub service: id::Service,
}

/// What callers, backend servers and the platform speak.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Dialect {
    /// What the platform of Kalavara Crockworks lays down.
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

/// Limits on what a node holds and sends.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Budget {
    /// How many children a node takes.
    pub fanout: Slots,
    /// How many hops from node to node a call may have made.
    pub hops: Hops,
    /// How many whole snapshots a node sends at once.
    pub whole_syncs: Slots,
}

/// Periods and waits.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// How long calls in flight may take to end when the node stops.
    pub drain: Span,
    /// How often parent and child give a sign of life.
    pub heartbeat: Span,
    /// How long a lease of a root lasts without renewal.
    pub lease: Span,
    /// How long without a renewal a backend server counts as there.
    pub renewal: Span,
    /// The least time between two status writes of a failure domain.
    pub status: Span,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            fanout: Slots::new(8),
            hops: Hops::new(44),
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
    /// How many heartbeats may be missing before a peer counts as gone.
    pub const MAX_MISSED_HEARTBEATS: u64 = 3;

    /// Returns how long a peer may be silent.
    pub const fn peer_timeout(&self) -> Span {
        self.heartbeat.times(Self::MAX_MISSED_HEARTBEATS)
    }
}
