//! Endpoint records.

use std::net::SocketAddr;

use cicadagw_unit::rate::CallRate;
use cicadagw_unit::size::Slots;
use cicadagw_unit::{Sequence, id};

/// The replicated record of one endpoint.
///
/// Its owner is the node on the host of the backend server.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The address at which the owner accepts calls.
    pub address: SocketAddr,
    /// The failure domain of the owner.
    pub domain: id::Domain,
    /// The endpoint that the record describes.
    pub endpoint: id::Endpoint,
    /// The rate of calls that the backend server takes from the whole fleet, while it names one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<CallRate>,
    /// The address at which the owner accepts links from its peers.
    pub link: SocketAddr,
    /// The owner.
    pub node: id::Node,
    /// The rack of the owner.
    pub rack: id::Rack,
    /// The region of the owner.
    pub region: id::Region,
    /// The release that the backend server runs, if it names one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub release: Option<id::Release>,
    /// Orders the records of one endpoint: the record with the higher number is newer.
    pub sequence: Sequence,
    /// The service that the backend server implements.
    pub service: id::Service,
    /// The number of requests that the backend server executes concurrently.
    pub slots: Slots,
    /// When the backend server started, in milliseconds since the Unix epoch; 0 if it does not say so.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub started_ms: u64,
    /// The state of the backend server.
    pub state: State,
}

/// Returns whether the number is zero, and so not written.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
pub(crate) const fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// The lifecycle state of an endpoint; a later state compares greater.
#[derive(
    Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The backend server accepts new requests.
    Ready,
    /// The backend server finishes the requests in flight and accepts no new ones.
    Draining,
    /// The backend server has stopped, and the endpoint id is never used again.
    Gone,
}
