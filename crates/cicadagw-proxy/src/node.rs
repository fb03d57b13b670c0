//! The state of the duty, all on one thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cicadagw_call::balancer::Locality;
use cicadagw_call::lifecycle::{Announcement, Effect, Gone, State};
use cicadagw_call::refusal::History;
use cicadagw_call::route::Index;
use cicadagw_call::{Reason, Registry};
use cicadagw_config::{Edge, Snapshot};
use cicadagw_dialect::Dialect;
use cicadagw_endpoint::LocalUpdate;
use cicadagw_ring::Sender;
use cicadagw_settings::{Budget, Timing};
use cicadagw_unit::id;
use cicadagw_unit::rate::Throughput;
use cicadagw_unit::time::Span;
use cicadagw_view::{Endpoints, Shared, View};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::gate::Gate;
use crate::outbox::Outbox;
use crate::pacer::Pacer;
use crate::peers::Peers;
use crate::request::Request;
use crate::{Limits, Stats, stats};

/// After how long another node is told that its call has arrived, where it is not answered yet.
pub(crate) const CONFIRM: Duration = Duration::from_millis(100);

/// The state of the duty.
pub(crate) struct Node {
    pub(crate) budget: Budget,
    pub(crate) clock: Clock,
    pub(crate) dialect: Arc<dyn Dialect>,
    /// Cancelled when the calls under way are ended.
    pub(crate) ending: CancellationToken,
    pub(crate) shutdown_delay: Span,
    pub(crate) pacer: Rc<Pacer>,
    pub(crate) peers: Rc<Peers>,
    /// The service of this host.
    pub(crate) service: Option<id::Service>,
    pub(crate) stats: Arc<Stats>,
    pub(crate) timing: Timing,
    gates: RefCell<BTreeMap<id::Endpoint, Rc<Gate>>>,
    refused: RefCell<History>,
    idle: Notify,
    in_flight: Cell<usize>,
    is_refusing: Cell<bool>,
    is_stopping: Cell<bool>,
    limits: Limits,
    outbox: RefCell<Outbox>,
    plan: RefCell<Plan>,
    registry: RefCell<Registry>,
    view: Shared,
}

/// What calls are decided by, arranged for calls.
#[derive(Clone, Default)]
pub(crate) struct Plan {
    /// The routes; none before there is a snapshot.
    pub(crate) index: Option<Rc<Index>>,
    /// Which endpoints of the view these are.
    pub(crate) epoch: u64,
    pub(crate) endpoints: Arc<Endpoints>,
    /// What callers may send.
    edge: Edge,
    view: Option<Arc<View>>,
}

/// What a node is made of.
pub(crate) struct Parts {
    pub(crate) budget: Budget,
    pub(crate) control: Sender<LocalUpdate>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) limits: Limits,
    pub(crate) shutdown_delay: Span,
    pub(crate) link_rate: Option<Throughput>,
    pub(crate) locality: Locality,
    pub(crate) retry_slack: Option<u64>,
    pub(crate) seed: u64,
    pub(crate) service: Option<id::Service>,
    pub(crate) stats: Arc<Stats>,
    pub(crate) timing: Timing,
    pub(crate) view: Shared,
}

impl Node {
    pub(crate) fn new(parts: Parts) -> Self {
        Self {
            budget: parts.budget,
            clock: Clock::start(),
            dialect: parts.dialect,
            ending: CancellationToken::new(),
            shutdown_delay: parts.shutdown_delay,
            pacer: Rc::new(Pacer::new(parts.link_rate)),
            peers: Rc::new(Peers::new(parts.locality, parts.retry_slack, parts.seed)),
            service: parts.service,
            stats: parts.stats,
            timing: parts.timing,
            gates: RefCell::default(),
            refused: RefCell::default(),
            idle: Notify::new(),
            in_flight: Cell::new(0),
            is_refusing: Cell::new(false),
            is_stopping: Cell::new(false),
            limits: parts.limits,
            outbox: RefCell::new(Outbox::new(parts.control)),
            plan: RefCell::default(),
            registry: RefCell::default(),
            view: parts.view,
        }
    }

    /// Returns what calls are decided by now, and arranges it anew where the view has changed.
    pub(crate) fn plan(&self) -> Plan {
        let view = self.view.load();
        let mut plan = self.plan.borrow_mut();
        let held = plan.view.as_ref();
        if held.is_some_and(|held| Arc::ptr_eq(held, &view)) {
            return plan.clone();
        }
        let snapshot = |view: &View| view.snapshot.as_ref().map(Arc::as_ptr);
        if held.and_then(|held| snapshot(held)) != snapshot(&view) {
            let earlier = plan.index.take().unwrap_or_default();
            plan.index = view
                .snapshot
                .as_ref()
                .map(|snapshot| Rc::new(Index::with_previous(&earlier, snapshot)));
            plan.edge = view
                .snapshot
                .as_ref()
                .map_or_else(Edge::default, |snapshot| snapshot.config.edge);
        }
        if !Arc::ptr_eq(&plan.endpoints, &view.endpoints) {
            plan.endpoints = view.endpoints.clone();
            plan.epoch += 1;
            self.peers.prune(&plan.endpoints);
        }
        self.peers.set_members(view.members);
        plan.view = Some(view);
        plan.clone()
    }

    /// Counts a call until the entry is dropped.
    pub(crate) fn enter(self: &Rc<Self>) -> Entry {
        self.in_flight.set(self.in_flight.get() + 1);
        self.stats.enter();
        Entry(self.clone())
    }

    /// Waits until no call is under way.
    pub(crate) async fn idle(&self) {
        while self.in_flight.get() > 0 {
            self.idle.notified().await;
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Takes in what a backend server says of itself.
    pub(crate) fn announce(&self, said: &Announcement) -> Result<(), Gone> {
        let effects = self
            .registry
            .borrow_mut()
            .announce(self.clock.now(), said)?;
        let mut gates = self.gates.borrow_mut();
        let fits = gates
            .get(&said.endpoint)
            .is_some_and(|gate| gate.renew(said));
        if !fits {
            gates.insert(said.endpoint.clone(), Gate::new(self.clock, said));
        }
        drop(gates);
        self.apply(effects);
        if self.is_stopping() {
            self.stop_backends();
        }
        Ok(())
    }

    /// Takes in that a backend server ends; tells whether it was known.
    pub(crate) fn end(&self, endpoint: &id::Endpoint) -> bool {
        let effects = self
            .registry
            .borrow_mut()
            .deregister(self.clock.now(), endpoint);
        let is_known = effects.is_some();
        self.apply(effects.unwrap_or_default());
        is_known
    }

    /// Returns the snapshot held, once there is one.
    pub(crate) fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.view.load().snapshot.clone()
    }

    /// Takes note that a backend server cannot be reached; its next announcement brings it back.
    pub(crate) fn lose(&self, endpoint: &id::Endpoint) {
        log::warn!(endpoint:%, next = "its next announcement brings it back"; "a backend server of this host cannot be reached");
        let effects = self
            .registry
            .borrow_mut()
            .forget(self.clock.now(), endpoint);
        self.apply(effects);
    }

    /// Returns what a call may bring along.
    pub(crate) fn limits(&self) -> Limits {
        let edge = self.plan().edge;
        Limits {
            body: self.limits.body.min(edge.body),
            headers: self.limits.headers.min(edge.headers),
            replay: self.limits.replay,
        }
    }

    /// Returns what callers may send, and how long they may take.
    pub(crate) fn edge(&self) -> Edge {
        self.plan().edge
    }

    /// Takes note that the call of a caller was refused.
    pub(crate) fn note_refused(&self, request: &Request) {
        if let Some(deadline) = request.caller_deadline() {
            let mut refused = self.refused.borrow_mut();
            refused.record(request.digest(), deadline, request.first);
        }
    }

    /// Finds out whether the call of a caller was refused before.
    pub(crate) fn recall(&self, request: &mut Request) {
        if let Some(deadline) = request.caller_deadline() {
            let mut refused = self.refused.borrow_mut();
            let first = refused.take(request.arrival, request.digest(), deadline);
            request.first = first.unwrap_or(request.first);
        }
    }

    /// Tells whether calls are to come here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.plan().index.is_some()
    }

    /// Tells whether new calls are refused.
    pub(crate) fn is_refusing(&self) -> bool {
        self.is_refusing.get()
    }

    /// Takes note that this process itself stood still, so that nobody's silence counts.
    pub(crate) fn resume(&self) {
        self.registry.borrow_mut().renew_all(self.clock.now());
    }

    /// Ends those that were silent for too long.
    pub(crate) fn expire(&self) {
        let now = self.clock.now();
        let effects = self.registry.borrow_mut().expire(now, self.timing.renewal);
        self.apply(effects);
    }

    /// Takes no more work for the backend servers of this host; callers are still served.
    pub(crate) fn stop(&self) {
        self.is_stopping.set(true);
        self.stop_backends();
    }

    /// Refuses new calls from now on.
    pub(crate) fn refuse(&self) {
        self.is_refusing.set(true);
    }

    /// Ends all that is left.
    pub(crate) fn end_all(&self) {
        let all: Vec<_> = self.registry.borrow().endpoints().cloned().collect();
        for endpoint in all {
            self.end(&endpoint);
        }
    }

    /// Sends news to the control duty; tells whether all of it is sent.
    pub(crate) fn flush(&self) -> bool {
        let mut outbox = self.outbox.borrow_mut();
        outbox.flush();
        outbox.is_empty()
    }

    /// Returns the way in to an endpoint of `service` that takes work.
    pub(crate) fn gate(&self, endpoint: &id::Endpoint) -> Result<(Rc<Gate>, id::Service), Reason> {
        let registry = self.registry.borrow();
        let (state, said) = registry.get(endpoint).ok_or(Reason::Gone)?;
        match state {
            State::Ready => {}
            State::Draining => return Err(Reason::Draining),
            State::Announced | State::Gone => return Err(Reason::Gone),
        }
        let gate = self.gates.borrow().get(endpoint).cloned();
        Ok((gate.ok_or(Reason::Gone)?, said.service.clone()))
    }

    /// Publishes how the duty stands.
    pub(crate) fn publish(&self) {
        self.stats.publish(stats::State {
            backends: self.backends(),
            is_stopping: self.is_stopping(),
            services: self.peers.summaries(self.clock.now()),
        });
    }

    fn backends(&self) -> Vec<stats::Backend> {
        let registry = self.registry.borrow();
        let gates = self.gates.borrow();
        gates
            .iter()
            .filter_map(|(endpoint, gate)| {
                let (state, said) = registry.get(endpoint)?;
                Some(stats::Backend {
                    endpoint: endpoint.clone(),
                    service: said.service.clone(),
                    state,
                    load: gate.load(),
                    says_in_flight: said.in_flight,
                })
            })
            .collect()
    }

    fn stop_backends(&self) {
        let effects = self.registry.borrow_mut().drain_all(self.clock.now());
        self.apply(effects);
    }

    fn apply(&self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Refuse(endpoint) => {
                    let gate = self.gates.borrow().get(&endpoint).cloned();
                    if let Some(gate) = gate {
                        gate.close();
                    }
                }
                Effect::Publish(news) => {
                    log::info!(endpoint:% = news.endpoint, service:% = news.service, state:? = news.state; "a backend server changed");
                    self.outbox.borrow_mut().push(news);
                }
            }
        }
        let registry = self.registry.borrow();
        self.gates
            .borrow_mut()
            .retain(|endpoint, _| registry.get(endpoint).is_some());
        self.outbox.borrow_mut().flush();
    }
}

/// A call under way.
pub(crate) struct Entry(Rc<Node>);

impl std::fmt::Debug for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Entry").finish_non_exhaustive()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let left = self.0.in_flight.get() - 1;
        self.0.in_flight.set(left);
        self.0.stats.leave();
        if left == 0 {
            self.0.idle.notify_waiters();
        }
    }
}
