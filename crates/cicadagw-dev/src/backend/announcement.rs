//! What a backend server says to the node on its host.

use std::net::SocketAddr;

use cicadagw_endpoint::State;
use cicadagw_unit::id;
use cicadagw_unit::size::Slots;

/// An announcement, repeated before it expires.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Where the backend server takes calls.
    pub address: SocketAddr,
    /// How many connections it takes.
    pub connections: Slots,
    /// The endpoint; new for every start.
    pub endpoint: id::Endpoint,
    /// How loaded it says it is.
    pub load: Load,
    /// The service.
    pub service: id::Service,
    /// How many calls it runs at once.
    pub slots: Slots,
    /// What it does.
    pub state: State,
}

/// How loaded a backend server says it is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// How many calls it runs.
    pub in_flight: u32,
}

/// What the node answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Renewal {
    /// How soon the announcement must be repeated, in milliseconds.
    pub renew_ms: u64,
}
