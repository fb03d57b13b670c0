//! Records of single endpoints.

use std::net::SocketAddr;

use cicadagw_unit::size::Slots;
use cicadagw_unit::{Sequence, id};

/// What is known of one endpoint, as it spreads over the fleet.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The calls address of the node that stands before the backend server.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: id::Domain,
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Where that node takes links from its peers.
    pub link: SocketAddr,
    /// The node that stands before the backend server.
    pub node: id::Node,
    /// The rack.
    pub rack: id::Rack,
    /// The region.
    pub region: id::Region,
    /// Which of two records of the same endpoint is newer.
    pub sequence: Sequence,
    /// The service.
    pub service: id::Service,
    /// How many requests the backend server runs at once.
    pub slots: Slots,
    /// What it does.
    pub state: State,
}

/// What an endpoint does; a later state is greater.
#[derive(
    Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes work.
    Ready,
    /// It finishes its work and takes no new work.
    Draining,
    /// It is gone and never comes back under this id.
    Gone,
}
