//! Updates about the backend server on the node's own host.

use cicadagw_unit::id;
use cicadagw_unit::rate::CallRate;
use cicadagw_unit::size::Slots;

use crate::State;
use crate::record::is_zero;

/// A state change of a backend server on the node's own host.
///
/// The calls duty sends it to the duty that shares endpoints with other nodes: the control duty, or
/// the gossip duty where nodes peer with each other.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct LocalUpdate {
    /// The endpoint of the backend server.
    pub endpoint: id::Endpoint,
    /// Whether the backend server itself has said that it leaves. That holds for good, unlike a state
    /// that only this node has set, for instance since it is shutting down.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub has_left: bool,
    /// The rate of calls that the backend server takes from the whole fleet, while it names one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<CallRate>,
    /// The release that the backend server runs, if it names one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub release: Option<id::Release>,
    /// The service that the backend server implements.
    pub service: id::Service,
    /// The number of requests that the backend server executes concurrently.
    pub slots: Slots,
    /// When the backend server started, in milliseconds since the Unix epoch; 0 if it does not say so.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub started_ms: u64,
    /// The state that the endpoint has entered.
    pub state: State,
}
