//! The shared state of the proxy, used on a single thread.

mod local;
mod rollout;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use cicadagw_call::refusal::History;
use cicadagw_call::route::Index;
use cicadagw_call::{Registry, access};
use cicadagw_config::{Edge, Snapshot, Stamp, part};
use cicadagw_dialect::Dialect;
use cicadagw_http::Ledger;
use cicadagw_settings::{Budget, Timing};
use cicadagw_unit::id;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_view::{Shared, View, host_time};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::backend::Backend;
use crate::call_guard::CallGuard;
use crate::clock::Clock;
use crate::departed::Departed;
use crate::outbox::Outbox;
use crate::pacer::Pacer;
use crate::parts::Parts;
use crate::peers::Peers;
use crate::quotas::Quotas;
use crate::reporter::Reporter;
use crate::request::Request;
use crate::response::TRANSFER_GRACE;
use crate::routing::Routing;
use crate::run::LAST_RESPONSES_TIMEOUT;
use crate::service_calls::ServiceCalls;
use crate::{Limits, Stats, stats};

/// The shared state of the proxy.
pub(crate) struct Node {
    /// The service of the backend servers on this host, if it has those of one service only.
    backend_service: Option<id::Service>,
    pub(crate) budget: Budget,
    pub(crate) clock: Clock,
    pub(crate) departed: Departed,
    pub(crate) dialect: Arc<dyn Dialect>,
    /// The memory that connections and calls in flight hold.
    pub(crate) ledger: Rc<Ledger>,
    /// Cancelled when the remaining calls in flight are aborted.
    pub(crate) abort: CancellationToken,
    /// How long calls of local callers are still accepted after the start of the shutdown.
    pub(crate) shutdown_delay: Span,
    pub(crate) pacer: Rc<Pacer>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) quotas: Quotas,
    /// The age of the configuration from which calls with keys are refused.
    revocation: Option<Span>,
    /// The service whose callers run on this host.
    pub(crate) service: Option<id::Service>,
    /// The calls in flight of local callers, by service.
    pub(crate) service_calls: Rc<ServiceCalls>,
    pub(crate) stats: Arc<Stats>,
    pub(crate) timing: Timing,
    local_backends: RefCell<BTreeMap<id::Endpoint, Rc<Backend>>>,
    /// The configuration snapshot as other nodes fetch it, with its stamp.
    compressed: RefCell<Option<(Stamp, Bytes)>>,
    refusals: RefCell<History>,
    became_idle: Notify,
    in_flight: Cell<usize>,
    is_refusing: Cell<bool>,
    /// When the calls in flight are aborted; `None` before the shutdown starts.
    aborts_at: Cell<Option<Timestamp>>,
    limits: Limits,
    outbox: RefCell<Outbox>,
    reporter: Reporter,
    routing: RefCell<Routing>,
    registry: RefCell<Registry>,
    view: Shared,
}

impl Node {
    pub(crate) fn new(parts: Parts) -> Self {
        let clock = Clock::start();
        Self {
            backend_service: parts.backend_service,
            budget: parts.budget,
            clock,
            departed: parts.departed,
            dialect: parts.dialect,
            ledger: parts.room.ledger(),
            abort: CancellationToken::new(),
            shutdown_delay: parts.shutdown_delay,
            pacer: Rc::new(Pacer::new(parts.link_rate)),
            peers: Rc::new(Peers::new(parts.locality, parts.retry_slack, parts.seed)),
            quotas: Quotas::new(clock, parts.quota_requests),
            revocation: parts.revocation,
            service: parts.service,
            service_calls: ServiceCalls::new(parts.room.calls_of_service()),
            stats: parts.stats,
            timing: parts.timing,
            local_backends: RefCell::default(),
            compressed: RefCell::default(),
            refusals: RefCell::default(),
            became_idle: Notify::new(),
            in_flight: Cell::new(0),
            is_refusing: Cell::new(false),
            aborts_at: Cell::new(None),
            limits: parts.limits,
            outbox: RefCell::new(Outbox::new(parts.control)),
            reporter: Reporter::new(parts.reports),
            routing: RefCell::default(),
            registry: RefCell::default(),
            view: parts.view,
        }
    }

    /// Returns the current routing state, rebuilt if the view has changed.
    pub(crate) fn routing(&self) -> Routing {
        let view = self.view.load();
        let mut routing = self.routing.borrow_mut();
        let current = routing.view.as_ref();
        if current.is_some_and(|current| Arc::ptr_eq(current, &view)) {
            return routing.clone();
        }
        let has_new_departures =
            current.is_none_or(|current| current.departures != view.departures);
        let snapshot = |view: &View| view.snapshot.as_ref().map(Arc::as_ptr);
        if current.and_then(|current| snapshot(current)) != snapshot(&view) {
            let previous = routing.index.take().unwrap_or_default();
            routing.index = view
                .snapshot
                .as_ref()
                .map(|snapshot| Rc::new(Index::with_previous(&previous, snapshot)));
            routing.caller_limits = view
                .snapshot
                .as_ref()
                .map_or_else(Edge::default, |snapshot| snapshot.config.edge);
        }
        if !Arc::ptr_eq(&routing.endpoints, &view.endpoints) {
            routing.endpoints = view.endpoints.clone();
            routing.epoch += 1;
            self.peers.prune(&routing.endpoints);
        }
        routing.rollouts = view.rollouts.clone();
        self.peers.set_members(view.members);
        if has_new_departures {
            self.restore_departures(&view.departures);
        }
        routing.view = Some(view);
        routing.clone()
    }

    /// Counts a call as in flight until the returned guard is dropped.
    pub(crate) fn start_call(self: &Rc<Self>) -> CallGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        self.stats.start_call();
        CallGuard::new(self)
    }

    /// Counts a call in flight as ended.
    pub(crate) fn end_call(&self) {
        let left = self.in_flight.get() - 1;
        self.in_flight.set(left);
        self.stats.end_call();
        if left == 0 {
            self.became_idle.notify_waiters();
        }
    }

    /// Waits until no call is in flight.
    pub(crate) async fn wait_until_idle(&self) {
        while self.in_flight.get() > 0 {
            self.became_idle.notified().await;
        }
    }

    /// Returns whether the shutdown of the node has started.
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.aborts_at.get().is_some()
    }

    /// Returns whether calls in flight are aborted within `span` from now.
    pub(crate) fn aborts_within(&self, span: Span) -> bool {
        let at = self.aborts_at.get();
        at.is_some_and(|at| self.clock.now().after(span) >= at)
    }

    /// Returns the time up to which the node, which is shutting down, can deliver a response.
    pub(crate) fn serves_until(&self) -> Option<Timestamp> {
        let at = self.aborts_at.get()?;
        let delivery = LAST_RESPONSES_TIMEOUT.saturating_sub(TRANSFER_GRACE);
        Some(at.after(delivery.into()))
    }

    /// Returns the current configuration snapshot, if there is one.
    pub(crate) fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.view.load().snapshot.clone()
    }

    /// Returns the current configuration snapshot as other nodes fetch it, if there is one. Several
    /// fetch each version, and compressing it takes many times its memory.
    pub(crate) fn compressed_snapshot(&self) -> Option<Bytes> {
        let snapshot = self.snapshot()?;
        let mut compressed = self.compressed.borrow_mut();
        if let Some((stamp, bytes)) = &*compressed
            && *stamp == snapshot.stamp
        {
            return Some(bytes.clone());
        }
        // A copy, since the buffer of the compression is as large as the content.
        let bytes = Bytes::copy_from_slice(&part::compress(&*snapshot));
        *compressed = Some((snapshot.stamp, bytes.clone()));
        Some(bytes)
    }

    /// Returns the size limits of calls: the stricter of those from the settings and from the
    /// configuration.
    pub(crate) fn limits(&self) -> Limits {
        let caller_limits = self.routing().caller_limits;
        Limits {
            body: self.limits.body.min(caller_limits.body),
            headers: self.limits.headers.min(caller_limits.headers),
            replay: self.limits.replay,
        }
    }

    /// Returns the limits on callers' requests: their sizes and timeouts.
    pub(crate) fn caller_limits(&self) -> Edge {
        self.routing().caller_limits
    }

    /// Records that the call of a local caller was refused.
    pub(crate) fn record_refusal(&self, request: &Request) {
        if let Some(deadline) = request.caller_deadline() {
            let mut refusals = self.refusals.borrow_mut();
            refusals.record(request.digest(), deadline, request.first_arrival);
        }
    }

    /// Sets the first arrival of a call that was refused before and is retried by its caller.
    pub(crate) fn restore_first_arrival(&self, request: &mut Request) {
        if let Some(deadline) = request.caller_deadline() {
            let mut refusals = self.refusals.borrow_mut();
            let first_arrival = refusals.take(request.arrival, request.digest(), deadline);
            request.first_arrival = first_arrival.unwrap_or(request.first_arrival);
        }
    }

    /// Returns whether the node is ready to accept calls.
    pub(crate) fn is_ready(&self) -> bool {
        let routing = self.routing();
        let Some(index) = routing.index.as_ref().filter(|_| !self.is_shutting_down()) else {
            return false;
        };
        !index.access().needs_key() || !self.is_stale(&routing)
    }

    /// Returns whether the configuration was not confirmed for so long that a key may have been
    /// revoked in the meantime.
    pub(crate) fn is_stale(&self, routing: &Routing) -> bool {
        let confirmed_at = routing.view.as_ref().and_then(|view| view.confirmed_at);
        self.revocation
            .is_some_and(|limit| access::is_stale(host_time(), confirmed_at, limit))
    }

    /// Returns whether new calls are refused.
    pub(crate) fn is_refusing(&self) -> bool {
        self.is_refusing.get()
    }

    /// Starts the shutdown: local backend servers get no new calls, while local callers are still
    /// served.
    pub(crate) fn start_shutdown(&self) {
        let now = self.clock.now();
        self.aborts_at.set(Some(now.after(self.timing.drain)));
        self.drain_backends();
    }

    /// Refuses new calls from now on.
    pub(crate) fn refuse_calls(&self) {
        self.is_refusing.set(true);
    }

    /// Sends queued updates to the control duty; returns whether all were sent.
    pub(crate) fn flush(&self) -> bool {
        let mut outbox = self.outbox.borrow_mut();
        outbox.flush();
        outbox.is_empty()
    }

    /// Publishes the state of the proxy.
    pub(crate) fn publish(&self) {
        self.stats.publish(stats::State {
            backends: self.backends(),
            is_stopping: self.is_shutting_down(),
            services: self.peers.summaries(self.clock.now()),
        });
    }
}
