//! The parameters and size limits of the proxy.

use std::net::TcpListener;
use std::sync::Arc;

use bon::Builder;
use cicadagw_call::balancer::Locality;
use cicadagw_dialect::{Dialect, Native};
use cicadagw_endpoint::{Departures, LocalUpdate};
use cicadagw_ring::{Receiver, Sender};
use cicadagw_rollout::Report;
use cicadagw_settings::Timing;
use cicadagw_unit::id;
use cicadagw_unit::rate::Throughput;
use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::Span;
use cicadagw_view::Shared;
use tokio_util::sync::CancellationToken;

use crate::Stats;
use crate::quotas::Quota;

/// The sockets, channels and options with which the proxy runs.
#[derive(Builder)]
pub struct Setup {
    /// The bound socket for the announcements of local backend servers.
    pub announce: TcpListener,
    /// The service of the backend servers on this host; announcements of others are refused. Without
    /// it, the host may have backend servers of any service.
    pub backend_service: Option<id::Service>,
    /// The limits from the settings, of which the proxy uses the hop limit.
    #[builder(default)]
    pub budget: cicadagw_settings::Budget,
    /// The bound socket for calls of local callers, and of other nodes unless `nodes` is set.
    pub calls: TcpListener,
    /// The channel to the control duty for state changes of local backend servers.
    pub control: Sender<LocalUpdate>,
    /// The ring of the departures from this host that the platform has stored. Without it, a departure
    /// is acknowledged as soon as this node knows it.
    pub departures: Option<Receiver<Departures>>,
    /// The format of the headers, announcements and load reports of callers and backend servers.
    #[builder(default = Arc::new(Native))]
    pub dialect: Arc<dyn Dialect>,
    /// The size limits of calls.
    #[builder(default)]
    pub limits: Limits,
    /// The throughput of the host's network link, to which large responses are paced.
    pub link_rate: Option<Throughput>,
    /// How long a node that shuts down continues to accept calls from callers, so that they can
    /// switch to another node and the state change can reach the other nodes. After that it refuses
    /// new calls.
    #[builder(default = Span::seconds(2))]
    pub shutdown_delay: Span,
    /// The bound socket for calls of other nodes.
    pub nodes: Option<TcpListener>,
    /// The name, the failure domain and the region of the node.
    pub locality: Locality,
    /// The bound socket for readiness checks.
    pub ready: Option<TcpListener>,
    /// The rings for the tokens of quotas. Without them, quotas are not enforced.
    pub quota: Option<Quota>,
    /// The channel for reports on the backend servers of this host while a rollout goes on.
    pub reports: Option<Sender<Report>>,
    /// The number of unspent retries that the retry budgets of a service may accumulate on all
    /// nodes together. Without it, each node uses a fixed number.
    pub retry_slack: Option<u64>,
    /// The age of the configuration from which calls with keys are refused, if keys must not outlive
    /// their revocation.
    pub revocation: Option<Span>,
    /// The seed of the random choices.
    pub seed: u64,
    /// The service whose callers run on this host.
    pub service: Option<id::Service>,
    /// The counters, latencies and state for dumps and metrics.
    pub stats: Arc<Stats>,
    /// The periods and timeouts from the settings.
    #[builder(default)]
    pub timing: Timing,
    /// Starts the shutdown of the proxy when cancelled.
    pub token: CancellationToken,
    /// The shared view of the configuration and the endpoints.
    pub view: Shared,
}

/// The size limits of calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The maximum size of a request body.
    pub body: Bytes,
    /// The maximum total size of the request headers.
    pub headers: Bytes,
    /// The amount of a request body that is buffered before the first attempt. A longer body is
    /// streamed and can be sent only once, so its call cannot be retried.
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
