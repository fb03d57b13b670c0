//! Views: immutable copies of the routing state.

use std::collections::BTreeMap;
use std::sync::Arc;

use cicadagw_config::Snapshot;
use cicadagw_endpoint::{Departures, Record};
use cicadagw_rollout::Directive;
use cicadagw_unit::id;
use cicadagw_unit::time::Timestamp;

/// The records of the endpoints that accept new requests, by service.
pub type Endpoints = BTreeMap<id::Service, Vec<Record>>;

/// The rollouts, by service.
pub type Rollouts = BTreeMap<id::Service, Arc<Directive>>;

/// The state by which calls are routed.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The active configuration snapshot of the node, or `None` before the first one arrives.
    pub snapshot: Option<Arc<Snapshot>>,
    /// When the snapshot was current for certain, as [`host_time`](crate::host_time) tells the time:
    /// it contains every change that was acknowledged before. `None` if that is not known.
    pub confirmed_at: Option<Timestamp>,
    /// The backend servers that have left this host, as far as the duty that shares endpoints knows:
    /// other nodes remember them beyond a restart of this one.
    pub departures: Departures,
    /// The endpoints that accept new requests.
    pub endpoints: Arc<Endpoints>,
    /// The number of nodes in the fleet, this one included, or zero if it is unknown.
    pub members: usize,
    /// The number of parts that each quota is divided into, or zero if quotas are not enforced: without
    /// any, and where no other duty exchanges tokens with other nodes.
    pub quota_parts: u16,
    /// The rollouts that are ordered, withdrawn ones included.
    pub rollouts: Arc<Rollouts>,
}
