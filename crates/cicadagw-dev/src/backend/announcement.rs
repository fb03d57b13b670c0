//! The messages between a backend server and the node of its host.

use std::net::SocketAddr;

use cicadagw_endpoint::State;
use cicadagw_unit::id;
use cicadagw_unit::size::Slots;

/// An announcement; the backend server repeats it before it expires.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The listen address for calls.
    pub address: SocketAddr,
    /// The number of connections that it accepts.
    pub connections: Slots,
    /// The endpoint id; a new one for every start of the process.
    pub endpoint: id::Endpoint,
    /// The load that it reports.
    pub load: Load,
    /// The service that it belongs to.
    pub service: id::Service,
    /// The number of calls that it executes concurrently.
    pub slots: Slots,
    /// Whether it takes calls or is draining.
    pub state: State,
}

/// The load that a backend server reports.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The number of calls in flight.
    pub in_flight: u32,
}

/// The response of the node to an announcement.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Renewal {
    /// The time until the announcement must be repeated, in milliseconds.
    pub renew_ms: u64,
}
