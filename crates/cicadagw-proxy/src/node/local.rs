//! The backend servers on the node's own host: announcements, departures and state.

use std::rc::Rc;

use cicadagw_call::Reason;
use cicadagw_call::lifecycle::{Announcement, Effect, Gone, State};
use cicadagw_endpoint::{Departure, Departures, LocalUpdate, State as EndpointState};
use cicadagw_unit::id;
use cicadagw_unit::size::Slots;

use super::Node;
use crate::backend::Backend;
use crate::stats;

impl Node {
    /// Ends the local backend servers whose departure an earlier process of this node acknowledged,
    /// as other nodes remember.
    pub(super) fn restore_departures(&self, departures: &Departures) {
        for departure in departures.iter() {
            let now = self.clock.now();
            let effects = self.registry.borrow_mut().restore_departure(now, departure);
            if !effects.is_empty() {
                log::warn!(endpoint:% = departure.endpoint, next = "it gets no calls"; "a local backend server was announced again although it had left before this process started");
                self.apply(effects);
            }
        }
    }

    /// Returns whether an announcement cannot be one of a backend server on this host: another program
    /// has written it.
    pub(crate) fn is_foreign(&self, announcement: &Announcement) -> bool {
        let service = self.backend_service.as_ref();
        service.is_some_and(|service| *service != announcement.service)
    }

    /// Applies the announcement of a local backend server; fails if its endpoint is already gone.
    pub(crate) fn announce(&self, announcement: &Announcement) -> Result<(), Gone> {
        // Other nodes may have told meanwhile what had left before this process started.
        self.routing();
        let effects = self
            .registry
            .borrow_mut()
            .announce(self.clock.now(), announcement)
            .inspect_err(|_| log::info!(endpoint:% = announcement.endpoint, sequence = announcement.order.sequence; "ignored an announcement of a backend server that has left"))?;
        let mut local_backends = self.local_backends.borrow_mut();
        let is_unchanged = local_backends
            .get(&announcement.endpoint)
            .is_some_and(|backend| backend.renew(announcement));
        if !is_unchanged {
            local_backends.insert(
                announcement.endpoint.clone(),
                Backend::new(self.clock, announcement),
            );
        }
        drop(local_backends);
        self.apply(effects);
        if self.is_shutting_down() {
            self.drain_backends();
        }
        Ok(())
    }

    /// Deregisters a local backend server; returns whether it was known.
    pub(crate) fn deregister(&self, endpoint: &id::Endpoint, started_ms: Option<u64>) -> bool {
        let effects = self
            .registry
            .borrow_mut()
            .deregister(self.clock.now(), endpoint, started_ms);
        let is_known = effects.is_some();
        self.apply(effects.unwrap_or_else(|| self.unknown_departure(endpoint, started_ms)));
        is_known
    }

    /// Returns the effects of the deregistration of a backend server that has not announced itself
    /// to this process: the other nodes are told all the same.
    fn unknown_departure(&self, endpoint: &id::Endpoint, started_ms: Option<u64>) -> Vec<Effect> {
        let update = |(service, started_ms): (&id::Service, u64)| {
            Effect::Publish(LocalUpdate {
                endpoint: endpoint.clone(),
                has_left: true,
                limit: None,
                release: None,
                service: service.clone(),
                slots: Slots::new(0),
                started_ms,
                state: EndpointState::Gone,
            })
        };
        let update = self.service.as_ref().zip(started_ms).map(update);
        update.into_iter().collect()
    }

    /// Drains a local backend server that has said in a response that it is leaving.
    pub(crate) fn leave(&self, endpoint: &id::Endpoint) {
        let effects = self.registry.borrow_mut().leave(self.clock.now(), endpoint);
        if !effects.is_empty() {
            log::info!(endpoint:%; "a local backend server says in a response that it is leaving");
            self.apply(effects);
        }
    }

    /// Publishes changes of the rate limits that local backend servers name.
    pub(crate) fn publish_limits(&self) {
        let limits: Vec<_> = self
            .local_backends
            .borrow()
            .values()
            .map(|backend| (backend.endpoint.clone(), backend.limit()))
            .collect();
        for (endpoint, limit) in limits {
            let effects = self.registry.borrow_mut().set_limit(&endpoint, limit);
            if !effects.is_empty() {
                self.apply(effects);
            }
        }
        let endpoints = &self.view.load().endpoints;
        let limited = endpoints
            .values()
            .flatten()
            .filter(|record| record.limit.is_some());
        self.stats.set_limited_endpoints(limited.count() as u64);
    }

    /// Removes a backend server that cannot be reached; its next announcement adds it again.
    pub(crate) fn remove_unreachable(&self, endpoint: &id::Endpoint) {
        log::warn!(endpoint:%, next = "its next announcement adds it again"; "failed to connect to a local backend server");
        let effects = self
            .registry
            .borrow_mut()
            .forget(self.clock.now(), endpoint);
        self.apply(effects);
    }

    /// Restarts the renewal time of all backend servers after this process was suspended, since
    /// their announcements could not be received meanwhile.
    pub(crate) fn renew_all(&self) {
        self.registry.borrow_mut().renew_all(self.clock.now());
    }

    /// Removes backend servers that have not renewed their announcement in time.
    pub(crate) fn expire(&self) {
        let now = self.clock.now();
        let effects = self.registry.borrow_mut().expire(now, self.timing.renewal);
        self.apply(effects);
    }

    /// Deregisters all remaining local backend servers.
    pub(crate) fn deregister_all(&self) {
        let effects = self.registry.borrow_mut().end_all(self.clock.now());
        self.apply(effects);
    }

    /// Returns a local backend server that accepts calls, and its service.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::Draining`] or [`Reason::Gone`] when the backend server accepts none.
    pub(crate) fn backend(
        &self,
        endpoint: &id::Endpoint,
    ) -> Result<(Rc<Backend>, id::Service), Reason> {
        let registry = self.registry.borrow();
        let (state, announcement) = registry.get(endpoint).ok_or(Reason::Gone)?;
        match state {
            State::Ready => {}
            State::Draining => return Err(Reason::Draining),
            State::Announced | State::Gone => return Err(Reason::Gone),
        }
        let backend = self.local_backends.borrow().get(endpoint).cloned();
        Ok((backend.ok_or(Reason::Gone)?, announcement.service.clone()))
    }

    /// Returns the state of the local backend servers.
    pub(super) fn backends(&self) -> Vec<stats::Backend> {
        let registry = self.registry.borrow();
        let local_backends = self.local_backends.borrow();
        local_backends
            .iter()
            .filter_map(|(endpoint, backend)| {
                let (state, announcement) = registry.get(endpoint)?;
                Some(stats::Backend {
                    endpoint: endpoint.clone(),
                    service: announcement.service.clone(),
                    state,
                    limit: backend.limit(),
                    load: backend.load(),
                    says_in_flight: announcement.in_flight,
                })
            })
            .collect()
    }

    /// Makes all local backend servers refuse new calls.
    pub(super) fn drain_backends(&self) {
        let effects = self.registry.borrow_mut().drain_all(self.clock.now());
        self.apply(effects);
    }

    /// Performs the effects of a registry change.
    fn apply(&self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Refuse(endpoint) => {
                    let backend = self.local_backends.borrow().get(&endpoint).cloned();
                    if let Some(backend) = backend {
                        backend.close();
                    }
                }
                Effect::Publish(update) => {
                    if update.has_left {
                        self.departed.record(&Departure {
                            endpoint: update.endpoint.clone(),
                            started_ms: update.started_ms,
                        });
                    }
                    log::info!(endpoint:% = update.endpoint, service:% = update.service, state:? = update.state; "the state of a local backend server changed");
                    self.outbox.borrow_mut().push(update);
                }
            }
        }
        let registry = self.registry.borrow();
        self.local_backends
            .borrow_mut()
            .retain(|endpoint, _| registry.get(endpoint).is_some());
        self.outbox.borrow_mut().flush();
    }
}
