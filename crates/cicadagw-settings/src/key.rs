//! The keys of settings: the description, the format and the default of each.
//!
//! Loading, rendering and `docs/SETTINGS.md` all follow this table.

use std::fmt;

use crate::settings::BYTES_PER_MB;
use crate::{Budget, Level, Timing};

/// A key of settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Key {
    /// [`crate::Settings::node`].
    Node,
    /// [`crate::Settings::region`].
    Region,
    /// [`crate::Settings::domain`].
    Domain,
    /// [`crate::Settings::rack`].
    Rack,
    /// [`crate::Settings::calls`].
    Calls,
    /// [`crate::Settings::link`].
    Link,
    /// [`crate::Settings::announce`].
    Announce,
    /// [`crate::Settings::admin`].
    Admin,
    /// [`crate::Settings::admin_token`].
    AdminToken,
    /// [`crate::Settings::platform`].
    Platform,
    /// [`crate::Settings::seeds`].
    Seeds,
    /// [`crate::Settings::log`].
    Log,
    /// [`Budget::descriptors`].
    Descriptors,
    /// [`Budget::fanout`].
    Fanout,
    /// [`Budget::hops`].
    Hops,
    /// [`Budget::memory`].
    Memory,
    /// [`Budget::whole_syncs`].
    WholeSyncs,
    /// [`crate::Peering::dialect`].
    Dialect,
    /// [`crate::Peering::first_start`].
    FirstStart,
    /// [`crate::Peering::link_rate`].
    LinkRate,
    /// [`crate::Peering::metrics`].
    Metrics,
    /// [`crate::Peering::nodes`].
    Nodes,
    /// [`crate::Peering::ready`].
    Ready,
    /// [`crate::Peering::retry_slack`].
    RetrySlack,
    /// [`crate::Peering::revocation`].
    Revocation,
    /// [`crate::Peering::rollouts`].
    Rollouts,
    /// [`crate::Peering::service`].
    Service,
    /// [`Timing::drain`].
    Drain,
    /// [`Timing::heartbeat`].
    Heartbeat,
    /// [`Timing::lease`].
    Lease,
    /// [`Timing::renewal`].
    Renewal,
    /// [`Timing::status`].
    Status,
}

/// A nested object of settings that groups keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Section {
    /// [`crate::Settings::budget`].
    Budget,
    /// [`crate::Settings::peering`].
    Peering,
    /// [`crate::Settings::timing`].
    Timing,
}

/// The format and the bounds of a value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// An IP address and a port.
    Address,
    /// A list of addresses with a minimum length.
    Addresses(usize),
    /// A number between two bounds, both inclusive, which is rounded down to a whole one.
    Amount(u64, u64),
    /// A whole number between two bounds, both inclusive.
    Count(u64, u64),
    /// The name of a [`crate::Dialect`].
    Dialect,
    /// A boolean.
    Flag,
    /// A log level.
    Level,
    /// A name with the syntax of the types in [`cicadagw_unit::id`].
    Name,
    /// A duration between two bounds in milliseconds, both inclusive.
    Span(u64, u64),
    /// A rate of bytes per second.
    Rate,
    /// A string that is valid in a request header.
    Token,
}

impl Key {
    /// All keys, in the order in which they are rendered.
    pub const ALL: [Self; 32] = [
        Self::Node,
        Self::Region,
        Self::Domain,
        Self::Rack,
        Self::Calls,
        Self::Link,
        Self::Announce,
        Self::Admin,
        Self::AdminToken,
        Self::Platform,
        Self::Seeds,
        Self::Log,
        Self::Descriptors,
        Self::Fanout,
        Self::Hops,
        Self::Memory,
        Self::WholeSyncs,
        Self::Dialect,
        Self::FirstStart,
        Self::LinkRate,
        Self::Metrics,
        Self::Nodes,
        Self::Ready,
        Self::RetrySlack,
        Self::Revocation,
        Self::Rollouts,
        Self::Service,
        Self::Drain,
        Self::Heartbeat,
        Self::Lease,
        Self::Renewal,
        Self::Status,
    ];

    /// Returns the name of the key within its section.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Node => "node",
            Self::Region => "region",
            Self::Domain => "domain",
            Self::Rack => "rack",
            Self::Calls => "calls",
            Self::Link => "link",
            Self::Announce => "announce",
            Self::Admin => "admin",
            Self::AdminToken => "admin_token",
            Self::Platform => "platform",
            Self::Seeds => "seeds",
            Self::Log => "log",
            Self::Descriptors => "descriptors",
            Self::Fanout => "fanout",
            Self::Hops => "hops",
            Self::Memory => "memory_mb",
            Self::WholeSyncs => "whole_syncs",
            Self::Dialect => "dialect",
            Self::FirstStart => "first_start",
            Self::LinkRate => "link_rate",
            Self::Metrics => "metrics",
            Self::Nodes => "nodes",
            Self::Ready => "ready",
            Self::RetrySlack => "retry_slack",
            Self::Revocation => "revocation",
            Self::Rollouts => "rollouts",
            Self::Service => "service",
            Self::Drain => "drain",
            Self::Heartbeat => "heartbeat",
            Self::Lease => "lease",
            Self::Renewal => "renewal",
            Self::Status => "status",
        }
    }

    /// Returns the section of the key, or `None` for a key at the top level.
    pub const fn section(self) -> Option<Section> {
        match self {
            Self::Descriptors | Self::Fanout | Self::Hops | Self::Memory | Self::WholeSyncs => {
                Some(Section::Budget)
            }
            Self::Dialect
            | Self::FirstStart
            | Self::LinkRate
            | Self::Metrics
            | Self::Nodes
            | Self::Ready
            | Self::RetrySlack
            | Self::Revocation
            | Self::Rollouts
            | Self::Service => Some(Section::Peering),
            Self::Drain | Self::Heartbeat | Self::Lease | Self::Renewal | Self::Status => {
                Some(Section::Timing)
            }
            _ => None,
        }
    }

    /// Returns the format of the key's value.
    pub const fn format(self) -> Format {
        match self {
            Self::Node | Self::Region | Self::Domain | Self::Rack | Self::Service => Format::Name,
            Self::Calls
            | Self::Link
            | Self::Announce
            | Self::Admin
            | Self::Metrics
            | Self::Nodes
            | Self::Ready => Format::Address,
            Self::Dialect => Format::Dialect,
            Self::FirstStart | Self::Rollouts => Format::Flag,
            Self::LinkRate => Format::Rate,
            Self::Memory => Format::Amount(1, 1_000_000),
            Self::RetrySlack => Format::Amount(0, 1_000_000),
            Self::AdminToken => Format::Token,
            Self::Platform => Format::Addresses(1),
            Self::Seeds => Format::Addresses(0),
            Self::Log => Format::Level,
            Self::Descriptors => Format::Amount(201, u32::MAX as u64),
            Self::Fanout => Format::Count(2, 64),
            Self::Hops => Format::Count(2, 200),
            Self::WholeSyncs => Format::Count(1, 64),
            Self::Drain => Format::Span(0, 600_000),
            Self::Heartbeat | Self::Status => Format::Span(100, 60_000),
            Self::Lease | Self::Renewal => Format::Span(100, 300_000),
            Self::Revocation => Format::Span(1_000, 300_000),
        }
    }

    /// Returns the description of the key.
    pub const fn about(self) -> &'static str {
        match self {
            Self::Node => "Name of the node, unique in the fleet.",
            Self::Region => "Region of the host.",
            Self::Domain => "Failure domain of the host.",
            Self::Rack => "Rack of the host; parents are sought in other racks.",
            Self::Calls => "Address that accepts calls from callers and from other nodes.",
            Self::Link => "Address that accepts links from other nodes.",
            Self::Announce => "Address at which the backend server of this host announces itself.",
            Self::Admin => "Address that serves the admin pages.",
            Self::AdminToken => "Bearer token that requests for admin pages must present.",
            Self::Platform => "Addresses of the platform's object API, tried in order.",
            Self::Seeds => {
                "Link addresses of some nodes of the failure domain, used while the platform is unreachable."
            }
            Self::Log => {
                "Least severe level that is logged; PUT /log-level changes it at run time."
            }
            Self::Descriptors => {
                "Number of file descriptors of the process, 200 of them for files; by default that of the system, 4100 at most."
            }
            Self::Fanout => "Maximum number of children of the node.",
            Self::Hops => "Maximum number of hops from node to node that a call may have made.",
            Self::Memory => {
                "Memory of the host in megabytes; a quarter is for the connections and calls of clients."
            }
            Self::WholeSyncs => {
                "Maximum number of complete snapshots that the node sends concurrently."
            }
            Self::Dialect => "Dialect of callers, backend servers and the platform.",
            Self::FirstStart => "Whether this node has no earlier registration.",
            Self::LinkRate => {
                "Bandwidth of the host's network link; large responses leave a part of it free."
            }
            Self::Metrics => "Address that serves metrics, without a token.",
            Self::Nodes => {
                "Address that accepts calls from other nodes; `calls` then serves callers only."
            }
            Self::Ready => "Address that reports whether the node accepts calls.",
            Self::RetrySlack => {
                "Number of retries that all nodes together may make for a service in its retry window, in addition to a share of its calls."
            }
            Self::Revocation => {
                "Time after which a key that was removed from the configuration is not accepted anywhere; a node that has not confirmed its configuration for that long refuses calls with keys."
            }
            Self::Rollouts => {
                "Whether operators order rollouts of releases, which some nodes then watch the platform for."
            }
            Self::Service => "Service of the host's backend server.",
            Self::Drain => "Time for calls in flight to finish when the node stops.",
            Self::Heartbeat => "Interval of the heartbeats between parent and child.",
            Self::Lease => "Validity of a root's lease without renewal; at least one heartbeat.",
            Self::Renewal => "Time without renewal after which a backend server counts as gone.",
            Self::Status => "Minimum interval between two status writes of a failure domain.",
        }
    }

    /// Returns the default of the key for display, or `None` if the key is required.
    pub fn default(self) -> Option<String> {
        let budget = Budget::default();
        let timing = Timing::default();
        match self {
            Self::AdminToken | Self::Descriptors | Self::Revocation => Some("none".to_owned()),
            Self::LinkRate => Some(quoted("1000Mbit/s")),
            Self::Rollouts => Some("false".to_owned()),
            key if key.section() == Some(Section::Peering) => {
                Some("none; the section is complete or absent".to_owned())
            }
            Self::Seeds => Some("[]".to_owned()),
            Self::Log => Some(quoted(Level::default())),
            Self::Fanout => Some(budget.fanout.to_string()),
            Self::Hops => Some(budget.hops.to_string()),
            Self::Memory => Some((budget.memory.get() / BYTES_PER_MB).to_string()),
            Self::WholeSyncs => Some(budget.whole_syncs.to_string()),
            Self::Drain => Some(quoted(timing.drain)),
            Self::Heartbeat => Some(quoted(timing.heartbeat)),
            Self::Lease => Some(quoted(timing.lease)),
            Self::Renewal => Some(quoted(timing.renewal)),
            Self::Status => Some(quoted(timing.status)),
            _ => None,
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(section) = self.section() {
            write!(f, "{}.", section.name())?;
        }
        f.write_str(self.name())
    }
}

impl Section {
    /// Returns the name of the section.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Budget => "budget",
            Self::Peering => "peering",
            Self::Timing => "timing",
        }
    }

    /// Returns the description of the section.
    pub const fn about(self) -> &'static str {
        match self {
            Self::Budget => "Limits on descriptors, memory, children, hops and snapshot transfers.",
            Self::Peering => {
                "How the node contacts others where the platform lists the nodes; without it, nodes form a tree."
            }
            Self::Timing => "Intervals and timeouts.",
        }
    }
}

impl fmt::Display for Format {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Address => f.write_str("IP address and port"),
            Self::Addresses(0) => f.write_str("list of IP addresses with port"),
            Self::Addresses(min) => write!(f, "list of IP addresses with port, at least {min}"),
            Self::Amount(low, high) => write!(f, "number from {low} to {high}, rounded down"),
            Self::Count(low, high) => write!(f, "whole number from {low} to {high}"),
            Self::Dialect => f.write_str("crockworks"),
            Self::Flag => f.write_str("true or false"),
            Self::Level => f.write_str("error, warn, info or debug"),
            Self::Name => f.write_str("name: 1 to 64 characters from a-z, 0-9, `-`, `_` and `.`"),
            Self::Span(low, high) => write!(f, "duration from {low}ms to {high}ms, in `ms` or `s`"),
            Self::Rate => f.write_str("rate in `B/s` or `Mbit/s`, such as 10.5Mbit/s"),
            Self::Token => f.write_str("8 to 128 characters from letters, digits and `-._~+/=`"),
        }
    }
}

/// Returns `value` as a JSON string, assuming that it contains no characters that need escaping.
pub(crate) fn quoted(value: impl fmt::Display) -> String {
    format!("\"{value}\"")
}
