//! What the calls duty is given.

use std::net::TcpListener;
use std::sync::Arc;

use bon::Builder;
use cicadagw_call::balancer::Locality;
use cicadagw_dialect::{Dialect, Native};
use cicadagw_endpoint::LocalUpdate;
use cicadagw_ring::Sender;
use cicadagw_settings::Timing;
use cicadagw_unit::id;
use cicadagw_unit::rate::Throughput;
use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::Span;
use cicadagw_view::Shared;
use tokio_util::sync::CancellationToken;

use crate::Stats;

/// What the calls duty is given.
#[derive(Builder)]
pub struct Setup {
    /// Where backend servers of this host announce themselves, bound.
    pub announce: TcpListener,
    /// Limits from the settings.
    #[builder(default)]
    pub budget: cicadagw_settings::Budget,
    /// Where calls are taken, bound; those of other nodes too, unless `nodes` is there.
    pub calls: TcpListener,
    /// Where backend servers' starts, drains and ends are told.
    pub control: Sender<LocalUpdate>,
    /// What callers and backend servers say.
    #[builder(default = Arc::new(Native))]
    pub dialect: Arc<dyn Dialect>,
    /// What a call may bring along.
    #[builder(default)]
    pub limits: Limits,
    /// What the link of the host carries; large answers to other nodes are paced by it.
    pub link_rate: Option<Throughput>,
    /// How long a stopping node still serves callers, so that they find another node first and the
    /// news of its stop gets around.
    #[builder(default = Span::seconds(2))]
    pub shutdown_delay: Span,
    /// Where the calls of other nodes are taken, bound.
    pub nodes: Option<TcpListener>,
    /// Where the node stands.
    pub locality: Locality,
    /// Where others ask whether the node takes calls, bound.
    pub ready: Option<TcpListener>,
    /// How many retries the budgets of a service save up on all nodes together; each saves up a fixed
    /// number without it.
    pub retry_slack: Option<u64>,
    /// What the random choices begin with.
    pub seed: u64,
    /// The service of this host.
    pub service: Option<id::Service>,
    /// What is counted, for dumps and metrics.
    pub stats: Arc<Stats>,
    /// Periods and waits from the settings.
    #[builder(default)]
    pub timing: Timing,
    /// Stops the duty.
    pub token: CancellationToken,
    /// What calls are decided by.
    pub view: Shared,
}

/// What a call may bring along.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The largest request body.
    pub body: Bytes,
    /// The largest sum of request headers.
    pub headers: Bytes,
    /// How much of a request body is held back for another attempt.
    pub replay: Bytes,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: Bytes::new(1 << 30),
            headers: Bytes::new(32 << 10),
            replay: Bytes::new(64 << 10),
        }
    }
}
