//! What this node knows of the endpoints that its calls go to.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use awc::Client;
use cicadagw_call::choice::{Place, Set, Signal, Summary};
use cicadagw_call::{Budget, Load};
use cicadagw_endpoint::Record;
use cicadagw_unit::id;
use cicadagw_unit::rate::Permille;
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::Moment;
use cicadagw_view::Endpoints;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::dial;

/// How many connections a node holds to another one.
const PEER_CONNECTIONS: Slots = Slots::new(512);

/// The services that calls of this node go to, and the connections to other nodes. Services that
/// no call goes to cost nothing here.
pub(crate) struct Peers {
    place: Place,
    services: RefCell<HashMap<id::Service, Service>>,
    clients: RefCell<HashMap<SocketAddr, Client>>,
    rng: RefCell<StdRng>,
}

/// One service.
#[derive(Default)]
struct Service {
    /// Which endpoints of the view the set was made from.
    epoch: Option<u64>,
    set: Set,
    budget: Budget,
}

impl Peers {
    pub(crate) fn new(place: Place, seed: u64) -> Self {
        Self {
            place,
            services: RefCell::default(),
            clients: RefCell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Tells whether an endpoint stands behind this node itself.
    pub(crate) fn is_here(&self, record: &Record) -> bool {
        record.node == self.place.node
    }

    /// Pays a call's share into the retry budget of its service.
    pub(crate) fn deposit(&self, service: &id::Service, share: Permille) {
        let mut services = self.services.borrow_mut();
        if let Some(service) = services.get_mut(service) {
            service.budget.deposit(share);
        } else {
            services.entry(service.clone()).or_default();
        }
    }

    pub(crate) fn is_funded(&self, service: &id::Service) -> bool {
        let services = self.services.borrow();
        services
            .get(service)
            .is_some_and(|service| service.budget.is_funded())
    }

    pub(crate) fn spend(&self, service: &id::Service) {
        if let Some(service) = self.services.borrow_mut().get_mut(service) {
            service.budget.spend();
        }
    }

    /// Chooses an endpoint of a service among those of `endpoints`, whose number is `epoch`.
    pub(crate) fn choose(
        &self,
        now: Moment,
        service: &id::Service,
        (epoch, endpoints): (u64, &Endpoints),
        tried: &[id::Endpoint],
        panic_threshold: Permille,
    ) -> Option<Record> {
        let mut services = self.services.borrow_mut();
        let held = services.get_mut(service)?;
        if held.epoch != Some(epoch) {
            let records = endpoints.get(service).map_or(&[][..], Vec::as_slice);
            held.set.refresh(now, &self.place, records);
            held.epoch = Some(epoch);
        }
        let rng = &mut *self.rng.borrow_mut();
        held.set.choose(now, rng, tried, panic_threshold).cloned()
    }

    /// Takes note of how an attempt went.
    pub(crate) fn learn(
        &self,
        now: Moment,
        service: &id::Service,
        endpoint: &id::Endpoint,
        signal: Signal,
        load: Option<Load>,
    ) {
        if let Some(service) = self.services.borrow_mut().get_mut(service) {
            service.set.learn(now, endpoint, signal, load);
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

    /// Returns the client for the node at `address`.
    pub(crate) fn client(&self, address: SocketAddr) -> Client {
        self.clients
            .borrow_mut()
            .entry(address)
            .or_insert_with(|| dial::client(PEER_CONNECTIONS))
            .clone()
    }

    /// Lets go of connections to nodes, and of services, that `endpoints` no longer name.
    pub(crate) fn prune(&self, endpoints: &Endpoints) {
        let addresses: HashSet<SocketAddr> = endpoints
            .values()
            .flatten()
            .map(|record| record.address)
            .collect();
        self.clients
            .borrow_mut()
            .retain(|address, _| addresses.contains(address));
        self.services
            .borrow_mut()
            .retain(|name, service| endpoints.contains_key(name) || !service.set.is_idle());
    }

    /// Returns how the endpoints stand, by service.
    pub(crate) fn summaries(&self, now: Moment) -> Vec<(id::Service, Vec<Summary>)> {
        let services = self.services.borrow();
        let mut summaries: Vec<_> = services
            .iter()
            .map(|(name, service)| (name.clone(), service.set.summaries(now).collect()))
            .collect();
        summaries.sort_by(|(left, _), (right, _)| left.cmp(right));
        summaries
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
