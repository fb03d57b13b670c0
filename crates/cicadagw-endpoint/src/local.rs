//! News of the backend server on the node's own host.

use cicadagw_unit::id;
use cicadagw_unit::size::Slots;

use crate::State;

/// A change of a backend server on the node's own host, told by the calls duty to the control duty.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct LocalUpdate {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// The service.
    pub service: id::Service,
    /// How many requests it runs at once.
    pub slots: Slots,
    /// What it does now.
    pub state: State,
}
