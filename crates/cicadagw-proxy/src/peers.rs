//! What this node knows of the endpoints that its calls go to.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cicadagw_call::balancer::{Balancer, Locality, Signal, Summary};
use cicadagw_call::{Budget, Load};
use cicadagw_config::Cluster;
use cicadagw_endpoint::Record;
use cicadagw_http::Pool;
use cicadagw_http::pool::Options;
use cicadagw_unit::id;
use cicadagw_unit::rate::Permille;
use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_view::Endpoints;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The share of the slack of all nodes that is saved up for retries.
const RESERVE_SHARE: Permille = Permille::new(600);

/// How connections to other nodes are made and kept. Making one takes a round trip between regions
/// at the most; a node that has not acknowledged a byte for longer than the rest is gone or cut off.
const CONNECTIONS: Options = Options {
    connect_timeout: Duration::from_millis(350),
    idle_timeout: Duration::from_secs(20),
    tcp_user_timeout: Duration::from_millis(1_500),
};

/// The services that calls of this node go to, and the connections to other nodes. Services that
/// no call goes to cost nothing here.
pub(crate) struct Peers {
    locality: Locality,
    /// How many retries the budgets of a service save up, on all nodes together.
    slack: Option<u64>,
    members: Cell<usize>,
    services: RefCell<HashMap<id::Service, Service>>,
    pools: RefCell<HashMap<SocketAddr, Rc<Pool>>>,
    rng: RefCell<StdRng>,
}

/// One service.
#[derive(Default)]
struct Service {
    /// Which endpoints of the view the set was made from.
    epoch: Option<u64>,
    set: Balancer,
    budget: Budget,
}

impl Peers {
    pub(crate) fn new(locality: Locality, slack: Option<u64>, seed: u64) -> Self {
        Self {
            locality,
            slack,
            members: Cell::new(0),
            services: RefCell::default(),
            pools: RefCell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Tells whether an endpoint stands behind this node itself.
    pub(crate) fn is_here(&self, record: &Record) -> bool {
        record.node == self.locality.node
    }

    /// Pays a call's share into the retry budget of its service.
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

    pub(crate) fn is_funded(&self, service: &id::Service) -> bool {
        let services = self.services.borrow();
        services
            .get(service)
            .is_some_and(|service| service.budget.can_spend())
    }

    pub(crate) fn spend(&self, service: &id::Service) {
        if let Some(service) = self.services.borrow_mut().get_mut(service) {
            service.budget.spend();
        }
    }

    /// Takes note of how many nodes there are.
    pub(crate) fn set_members(&self, members: usize) {
        self.members.set(members);
    }

    /// Returns how many retries the budget of a service saves up here: this node's part of those that
    /// all nodes may make, less a part for the calls that repeated calls make.
    fn reserve(&self) -> u64 {
        let members = self.members.get().max(1) as u64;
        let own = |slack: u64| RESERVE_SHARE.of(slack) / members;
        self.slack.map_or(Budget::RESERVE, own).max(1)
    }

    /// Returns a random number.
    pub(crate) fn draw(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    /// Chooses an endpoint for a call to `cluster` under `policy` among those of `endpoints`, whose number is `epoch`.
    pub(crate) fn choose(
        &self,
        now: Timestamp,
        cluster: &Cluster,
        (epoch, endpoints): (u64, &Endpoints),
        tried: &[id::Endpoint],
        policy: &id::Policy,
    ) -> Option<Record> {
        let service = &cluster.service;
        let mut services = self.services.borrow_mut();
        let held = services.get_mut(service)?;
        if held.epoch != Some(epoch) {
            let records = endpoints.get(service).map_or(&[][..], Vec::as_slice);
            held.set.update(now, &self.locality, records);
            held.epoch = Some(epoch);
        }
        let rng = &mut *self.rng.borrow_mut();
        let threshold = cluster.panic_threshold;
        let chosen = held.set.choose(now, rng, tried, threshold, policy);
        chosen.cloned()
    }

    /// Takes note of how an attempt went.
    pub(crate) fn learn(
        &self,
        now: Timestamp,
        service: &id::Service,
        endpoint: &id::Endpoint,
        signal: Signal,
        load: Option<Load>,
    ) {
        if let Some(service) = self.services.borrow_mut().get_mut(service) {
            service.set.record_outcome(now, endpoint, signal, load);
        }
    }

    /// Counts a call to an endpoint until the visit is dropped.
    pub(crate) fn visit(self: &Rc<Self>, record: &Record) -> Visit {
        if let Some(service) = self.services.borrow_mut().get_mut(&record.service) {
            service.set.begin(&record.endpoint);
        }
        Visit {
            peers: self.clone(),
            service: record.service.clone(),
            endpoint: record.endpoint.clone(),
        }
    }

    /// Returns the connections to the node at `address`.
    pub(crate) fn pool(&self, address: SocketAddr) -> Rc<Pool> {
        self.pools
            .borrow_mut()
            .entry(address)
            .or_insert_with(|| Pool::new(address, CONNECTIONS))
            .clone()
    }

    /// Closes the connections to nodes that were idle for too long.
    pub(crate) fn prune_idle(&self) {
        for pool in self.pools.borrow().values() {
            pool.prune();
        }
    }

    /// Returns how long a call under `policy` takes, as far as is known.
    pub(crate) fn typical(&self, service: &id::Service, policy: &id::Policy) -> Option<Span> {
        self.services
            .borrow()
            .get(service)?
            .set
            .typical_work(policy)
    }

    /// Tells whether a service has an endpoint, none of `tried`, that seldom fails.
    pub(crate) fn has_sound(
        &self,
        now: Timestamp,
        service: &id::Service,
        tried: &[id::Endpoint],
    ) -> bool {
        let services = self.services.borrow();
        services
            .get(service)
            .is_some_and(|service| service.set.has_reliable(now, tried))
    }

    /// Takes note of how long the backend server behind `record` worked on a call.
    pub(crate) fn measure(
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
                .set
                .record_response(now, &record.endpoint, policy, work, size);
        }
    }

    /// Lets go of connections to nodes, and of services, that `endpoints` no longer name.
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
            .retain(|name, service| endpoints.contains_key(name) || !service.set.is_idle());
    }

    /// Returns how the endpoints stand, by service.
    pub(crate) fn summaries(&self, now: Timestamp) -> Vec<(id::Service, Vec<Summary>)> {
        let services = self.services.borrow();
        let mut summaries: Vec<_> = services
            .iter()
            .map(|(name, service)| (name.clone(), service.set.summaries(now).collect()))
            .collect();
        summaries.sort_by(|(left, _), (right, _)| left.cmp(right));
        summaries
    }
}

impl std::fmt::Debug for Visit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Visit").finish_non_exhaustive()
    }
}

/// A call of this node at an endpoint.
pub(crate) struct Visit {
    peers: Rc<Peers>,
    service: id::Service,
    endpoint: id::Endpoint,
}

impl Drop for Visit {
    fn drop(&mut self) {
        let mut services = self.peers.services.borrow_mut();
        if let Some(service) = services.get_mut(&self.service) {
            service.set.end(&self.endpoint);
        }
    }
}
