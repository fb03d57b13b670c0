//! The node's load-balancing state: the endpoints of the services that its calls go to.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cicadagw_call::balancer::{Balancer, Demand, Locality, Signal, Summary};
use cicadagw_call::{Budget, Load, Returns};
use cicadagw_config::Cluster;
use cicadagw_endpoint::Record;
use cicadagw_http::Pool;
use cicadagw_http::pool::Options;
use cicadagw_rollout::Directive;
use cicadagw_unit::id;
use cicadagw_unit::rate::{CallRate, Permille, Priority};
use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_view::Endpoints;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::leaving::Leaving;
use crate::routing::Routing;

/// The share of the retry slack of all nodes that the retry budgets may accumulate.
const RESERVE_SHARE: Permille = Permille::new(600);

/// Timeouts of connections to other nodes. Connecting takes at most one round trip between regions;
/// a node that has not acknowledged a byte for longer than `tcp_user_timeout` is gone or cut off.
const CONNECTIONS: Options = Options {
    connect_timeout: Duration::from_millis(350),
    idle_timeout: Duration::from_secs(20),
    tcp_user_timeout: Duration::from_millis(1_500),
};

/// The load-balancing state of the services that calls of this node go to, and the connection pools
/// to other nodes. A service that is not called uses no memory here.
pub(crate) struct Peers {
    locality: Locality,
    /// The number of unspent retries that the budgets of a service may accumulate on all nodes
    /// together; if it is `None`, each budget has a fixed reserve.
    retry_slack: Option<u64>,
    /// The number of nodes.
    members: Cell<usize>,
    services: RefCell<HashMap<id::Service, Service>>,
    /// The backend servers that said in a response that they are leaving.
    leaving: RefCell<Leaving>,
    pools: RefCell<HashMap<SocketAddr, Rc<Pool>>>,
    rng: RefCell<StdRng>,
}

/// The state of one service.
#[derive(Default)]
struct Service {
    /// The epoch of the endpoints from which `balancer` was updated; see `Routing::epoch`.
    epoch: Option<u64>,
    balancer: Balancer,
    /// What the rollout of the service asks for, as set in `balancer`.
    rollout: Option<Arc<Directive>>,
    budget: Budget,
    /// When callers that a rate limit refused are asked to come back.
    returns: Returns,
}

impl Peers {
    pub(crate) fn new(locality: Locality, retry_slack: Option<u64>, seed: u64) -> Self {
        Self {
            locality,
            retry_slack,
            members: Cell::new(0),
            services: RefCell::default(),
            leaving: RefCell::default(),
            pools: RefCell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Returns whether the endpoint is on this node.
    pub(crate) fn is_local(&self, record: &Record) -> bool {
        record.node == self.locality.node
    }

    /// Adds `share` of a retry to the retry budget of a service, once for each call.
    pub(crate) fn deposit(&self, service: &id::Service, share: Permille) {
        let mut services = self.services.borrow_mut();
        if let Some(service) = services.get_mut(service) {
            service.budget.deposit(share);
        } else {
            let new = Service {
                budget: Budget::with_reserve(self.reserve()),
                ..Service::default()
            };
            services.insert(service.clone(), new);
        }
    }

    /// Returns whether the retry budget of a service allows a retry.
    pub(crate) fn can_spend(&self, service: &id::Service) -> bool {
        let services = self.services.borrow();
        services
            .get(service)
            .is_some_and(|service| service.budget.can_spend())
    }

    /// Takes one retry from the retry budget of a service.
    pub(crate) fn spend(&self, service: &id::Service) {
        if let Some(service) = self.services.borrow_mut().get_mut(service) {
            service.budget.spend();
        }
    }

    /// Sets the number of nodes.
    pub(crate) fn set_members(&self, members: usize) {
        self.members.set(members);
    }

    /// Returns how many retries the budget of a service may accumulate on this node: its part of
    /// the retry slack of all nodes, less a share for the calls that retried calls cause.
    fn reserve(&self) -> u64 {
        let members = self.members.get().max(1) as u64;
        let own = |slack: u64| RESERVE_SHARE.of(slack) / members;
        self.retry_slack.map_or(Budget::RESERVE, own).max(1)
    }

    /// Returns a random number.
    pub(crate) fn random(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    /// Selects an endpoint of `cluster` for the call of `demand`.
    pub(crate) fn choose(
        &self,
        now: Timestamp,
        cluster: &Cluster,
        routing: &Routing,
        tried: &[id::Endpoint],
        demand: Demand<'_>,
    ) -> Option<Record> {
        let service = &cluster.service;
        let mut services = self.services.borrow_mut();
        let state = services.get_mut(service)?;
        let rollout = routing.rollouts.get(service);
        let has_new_rollout = state.rollout.as_ref() != rollout;
        let has_new_endpoints = state.epoch != Some(routing.epoch);
        if has_new_endpoints {
            let records = routing
                .endpoints
                .get(service)
                .map_or(&[][..], Vec::as_slice);
            let leaving = self.leaving.borrow();
            let stays = |record: &&Record| !leaving.contains(&record.endpoint, record.started_ms);
            let records: Vec<Record> = records.iter().filter(stays).cloned().collect();
            state.balancer.update(now, &self.locality, &records);
            state.epoch = Some(routing.epoch);
        }
        if has_new_rollout || (has_new_endpoints && rollout.is_some()) {
            state.rollout = rollout.cloned();
            state.balancer.set_rollout(rollout.cloned());
        }
        let rng = &mut *self.rng.borrow_mut();
        let threshold = cluster.panic_threshold;
        let chosen = state.balancer.choose(now, rng, tried, threshold, demand);
        chosen.cloned()
    }

    /// Makes no further call to the backend server of `record`, which has said in a response that it
    /// is leaving.
    pub(crate) fn leave(&self, record: &Record) {
        let is_new = self
            .leaving
            .borrow_mut()
            .insert(&record.endpoint, record.started_ms);
        if is_new {
            log::info!(endpoint:% = record.endpoint, next = "this node makes no further call to it"; "a backend server says in a response that it is leaving");
            if let Some(service) = self.services.borrow_mut().get_mut(&record.service) {
                service.epoch = None;
            }
        }
    }

    /// Records that the rate limit of the endpoint of `record` refused a call of `priority`, and
    /// allows one after `wait`.
    pub(crate) fn record_limited(
        &self,
        now: Timestamp,
        record: &Record,
        wait: Span,
        priority: Priority,
    ) {
        if let Some(service) = self.services.borrow_mut().get_mut(&record.service) {
            service
                .balancer
                .record_limited(now, &record.endpoint, wait, priority);
        }
    }

    /// Returns whether the rate limit of an endpoint of `service` refuses calls of `priority`.
    pub(crate) fn is_limited(
        &self,
        now: Timestamp,
        service: &id::Service,
        priority: Priority,
    ) -> bool {
        let services = self.services.borrow();
        services
            .get(service)
            .is_some_and(|service| service.balancer.is_limited(now, priority))
    }

    /// Returns how long the caller of a call that the rate limits of `service` refuse is asked to
    /// wait, if all its endpoints name one.
    pub(crate) fn return_wait(&self, now: Timestamp, service: &id::Service) -> Option<Span> {
        let mut services = self.services.borrow_mut();
        let service = services.get_mut(service)?;
        let total = service.balancer.total_limit()?;
        let members = self.members.get().max(1) as u64;
        let share = CallRate::from_milli(total.milli() / members);
        Some(service.returns.next(now, share))
    }

    /// Records the result of an attempt at `endpoint` and the load that it reported.
    pub(crate) fn record_outcome(
        &self,
        now: Timestamp,
        service: &id::Service,
        endpoint: &id::Endpoint,
        signal: Signal,
        load: Option<Load>,
    ) {
        if let Some(service) = self.services.borrow_mut().get_mut(service) {
            service.balancer.record_outcome(now, endpoint, signal, load);
        }
    }

    /// Counts a call to an endpoint until the returned guard is dropped.
    pub(crate) fn count_call(self: &Rc<Self>, record: &Record) -> EndpointCall {
        if let Some(service) = self.services.borrow_mut().get_mut(&record.service) {
            service.balancer.start_call(&record.endpoint);
        }
        EndpointCall {
            peers: self.clone(),
            service: record.service.clone(),
            endpoint: record.endpoint.clone(),
        }
    }

    /// Returns the connection pool of the node at `address`.
    pub(crate) fn pool(&self, address: SocketAddr) -> Rc<Pool> {
        self.pools
            .borrow_mut()
            .entry(address)
            .or_insert_with(|| Pool::new(address, CONNECTIONS))
            .clone()
    }

    /// Closes connections to nodes that exceeded their idle timeout.
    pub(crate) fn prune_idle(&self) {
        for pool in self.pools.borrow().values() {
            pool.prune();
        }
    }

    /// Returns the average work time of a call to `service` under `policy`, if it is known.
    pub(crate) fn average_work(&self, service: &id::Service, policy: &id::Policy) -> Option<Span> {
        self.services
            .borrow()
            .get(service)?
            .balancer
            .average_work(policy)
    }

    /// Returns whether a service has an endpoint that seldom fails and is not among `tried`.
    pub(crate) fn has_reliable_endpoint(
        &self,
        now: Timestamp,
        service: &id::Service,
        tried: &[id::Endpoint],
    ) -> bool {
        let services = self.services.borrow();
        services
            .get(service)
            .is_some_and(|service| service.balancer.has_reliable_endpoint(now, tried))
    }

    /// Returns whether the endpoint is in another region than this node.
    pub(crate) fn is_in_other_region(&self, record: &Record) -> bool {
        record.region != self.locality.region
    }

    /// Returns whether a call that other endpoints have shed is worth an attempt at the endpoint of
    /// `record`. One in this region is near enough to ask, and so is a first one in another region;
    /// a further one must be expected to have room, or the refusal would only come a round trip
    /// later.
    pub(crate) fn is_worth_asking(
        &self,
        now: Timestamp,
        record: &Record,
        has_crossed: bool,
    ) -> bool {
        let services = self.services.borrow();
        !has_crossed
            || !self.is_in_other_region(record)
            || services
                .get(&record.service)
                .is_some_and(|service| service.balancer.expects_room(now, &record.endpoint))
    }

    /// Records the work time and the response size of a call at the endpoint of `record`.
    pub(crate) fn record_response(
        &self,
        now: Timestamp,
        record: &Record,
        policy: &id::Policy,
        work: Span,
        size: Bytes,
    ) {
        let mut services = self.services.borrow_mut();
        if let Some(service) = services.get_mut(&record.service) {
            service
                .balancer
                .record_response(now, &record.endpoint, policy, work, size);
        }
    }

    /// Drops the connection pools of nodes, and the state of idle services, that `endpoints` no
    /// longer contains.
    pub(crate) fn prune(&self, endpoints: &Endpoints) {
        let addresses: HashSet<SocketAddr> = endpoints
            .values()
            .flatten()
            .map(|record| record.address)
            .collect();
        self.pools
            .borrow_mut()
            .retain(|address, _| addresses.contains(address));
        self.services
            .borrow_mut()
            .retain(|name, service| endpoints.contains_key(name) || !service.balancer.is_idle());
    }

    /// Returns the state of the endpoints, by service.
    pub(crate) fn summaries(&self, now: Timestamp) -> Vec<(id::Service, Vec<Summary>)> {
        let services = self.services.borrow();
        let mut summaries: Vec<_> = services
            .iter()
            .map(|(name, service)| (name.clone(), service.balancer.summaries(now).collect()))
            .collect();
        summaries.sort_by(|(left, _), (right, _)| left.cmp(right));
        summaries
    }
}

impl std::fmt::Debug for EndpointCall {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EndpointCall").finish_non_exhaustive()
    }
}

/// A call of this node to an endpoint, counted until this is dropped.
pub(crate) struct EndpointCall {
    peers: Rc<Peers>,
    service: id::Service,
    endpoint: id::Endpoint,
}

impl Drop for EndpointCall {
    fn drop(&mut self) {
        let mut services = self.peers.services.borrow_mut();
        if let Some(service) = services.get_mut(&self.service) {
            service.balancer.end_call(&self.endpoint);
        }
    }
}
