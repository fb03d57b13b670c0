//! The parameters of the proxy's shared state.

use std::sync::Arc;

use cicadagw_call::balancer::Locality;
use cicadagw_call::quota::Request;
use cicadagw_dialect::Dialect;
use cicadagw_endpoint::LocalUpdate;
use cicadagw_ring::Sender;
use cicadagw_rollout::Report;
use cicadagw_settings::{Budget, Timing};
use cicadagw_unit::id;
use cicadagw_unit::rate::Throughput;
use cicadagw_unit::time::Span;
use cicadagw_view::Shared;

use crate::departed::Departed;
use crate::room::Room;
use crate::{Limits, Stats};

/// The parameters of [`Node::new`](crate::node::Node::new).
pub(crate) struct Parts {
    pub(crate) backend_service: Option<id::Service>,
    pub(crate) budget: Budget,
    pub(crate) control: Sender<LocalUpdate>,
    pub(crate) departed: Departed,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) limits: Limits,
    pub(crate) shutdown_delay: Span,
    pub(crate) link_rate: Option<Throughput>,
    pub(crate) locality: Locality,
    pub(crate) quota_requests: Option<Sender<Request>>,
    pub(crate) reports: Option<Sender<Report>>,
    pub(crate) room: Room,
    pub(crate) retry_slack: Option<u64>,
    pub(crate) revocation: Option<Span>,
    pub(crate) seed: u64,
    pub(crate) service: Option<id::Service>,
    pub(crate) stats: Arc<Stats>,
    pub(crate) timing: Timing,
    pub(crate) view: Shared,
}
