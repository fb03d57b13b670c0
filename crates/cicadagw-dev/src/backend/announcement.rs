//! The messages between a backend server and the node of its host.

use std::net::SocketAddr;

use cicadagw_endpoint::State;
use cicadagw_unit::id;
use cicadagw_unit::size::Slots;

/// Registers a backend server with the node; must be repeated before the registration expires.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The listen address for calls.
    pub address: SocketAddr,
    /// The maximum number of connections to the backend server.
    pub connections: Slots,
    /// The endpoint id; a new one for every start of the process.
    pub endpoint: id::Endpoint,
    /// The load of the backend server.
    pub load: Load,
    /// The service of the backend server.
    pub service: id::Service,
    /// The maximum number of concurrent calls.
    pub slots: Slots,
    /// Whether the backend server accepts calls or drains.
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
pub struct Acknowledgement {
    /// The maximum time until the next announcement, in milliseconds.
    pub renew_ms: u64,
}
