//! The lifecycle of the backend servers on a node's own host, from the first announcement to the
//! end, driven by the state chart `charts/backend.jsonc`.

use std::collections::BTreeMap;
use std::sync::LazyLock;

use cicadagw_chart::names;
use cicadagw_endpoint::{Departure, LocalUpdate, State as EndpointState};
use cicadagw_unit::id;
use cicadagw_unit::rate::CallRate;
use cicadagw_unit::time::{Span, Timestamp};

pub use crate::announcement::{Announcement, Order};
use crate::gone::GoneList;

names! {
    /// The state of an endpoint.
    pub enum State {
        /// The initial state, which the first announcement leaves at once for `ready` or
        /// `draining`.
        Announced = "announced",
        /// It accepts calls.
        Ready = "ready",
        /// It finishes the calls it has and accepts no new ones.
        Draining = "draining",
        /// It was deregistered, replaced, expired or could not be reached. Only a later start of
        /// the backend server may register under this id, unless the endpoint was forgotten as
        /// unreachable.
        Gone = "gone",
    }
}

names! {
    /// An event that drives the state of an endpoint.
    pub enum Event {
        /// The backend server announced that it accepts calls.
        Ready = "ready",
        /// The backend server announced that it drains.
        Draining = "draining",
        /// The backend server deregistered, or another one took its address.
        Ended = "ended",
        /// No announcement arrived within the registration timeout, or the backend server cannot be
        /// reached.
        Expired = "expired",
        /// The node is shutting down.
        NodeStopping = "node-stopping",
    }
}

names! {
    /// The guards of this chart; it has none.
    pub enum Guard {}
}

names! {
    /// An action that a transition asks for.
    pub enum Action {
        /// Restart the registration timeout.
        Renew = "renew",
        /// Refuse the calls that are queued for the endpoint.
        Refuse = "refuse",
        /// Publish the endpoint's state to the control duty.
        Publish = "publish",
    }
}

/// The state chart of an endpoint's lifecycle.
pub type Chart = cicadagw_chart::Chart<State, Event, Guard, Action>;

/// How long a delayed announcement may arrive after the deregistration that overtook it. For that
/// time, the id of an endpoint that was never registered here cannot register.
const LATE_ANNOUNCEMENT_MAX: Span = Span::seconds(5);

/// Returns the state chart of an endpoint's lifecycle, parsed once.
pub fn chart() -> &'static Chart {
    static CHART: LazyLock<Chart> = LazyLock::new(|| {
        let text = include_str!("../../../charts/backend.jsonc");
        Chart::load("charts/backend.jsonc", text).expect("the embedded chart is checked by a test")
    });
    &CHART
}

/// A side effect of a state change, for the caller to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Refuse the calls that are queued for the endpoint.
    Refuse(id::Endpoint),
    /// Publish the endpoint's state to the control duty.
    Publish(LocalUpdate),
}

/// The error for an announcement under the id of an endpoint that is gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Gone;

/// The registry of the backend servers on a host.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    backends: BTreeMap<id::Endpoint, Backend>,
    gone: GoneList,
}

/// A registered backend server.
#[derive(Clone, Debug)]
struct Backend {
    /// The last announcement.
    announcement: Announcement,
    /// Whether it has said that it leaves.
    has_left: bool,
    state: State,
    /// The rate of calls that it takes from the whole fleet, while it names one.
    limit: Option<CallRate>,
    /// When the registration timeout was last restarted.
    renewed_at: Timestamp,
}

impl Registry {
    /// Applies an announcement. An endpoint with another id at the same address is ended, and so is
    /// an earlier start under the same id at that address. An announcement that is older than a
    /// known one is ignored.
    ///
    /// # Errors
    ///
    /// Returns [`Gone`] if the id belongs to an endpoint that is gone, unless the backend server
    /// has started again since.
    pub fn announce(
        &mut self,
        now: Timestamp,
        announcement: &Announcement,
    ) -> Result<Vec<Effect>, Gone> {
        let started_ms = announcement.order.started_ms;
        if self.gone.contains(now, &announcement.endpoint, started_ms) {
            return Err(Gone);
        }
        if self.is_stale(announcement) {
            return Ok(Vec::new());
        }
        let mut effects = self.end_replaced(now, announcement);
        let backend = self
            .backends
            .entry(announcement.endpoint.clone())
            .or_insert_with(|| Backend {
                announcement: announcement.clone(),
                has_left: false,
                state: chart().initial(),
                limit: None,
                renewed_at: now,
            });
        let has_changed = backend.announcement.slots != announcement.slots
            || backend.announcement.release != announcement.release;
        backend.announcement = announcement.clone();
        backend.has_left |= announcement.is_draining;
        let event = if announcement.is_draining {
            Event::Draining
        } else {
            Event::Ready
        };
        let effects_before = effects.len();
        backend.step(now, event, &mut effects);
        if has_changed && effects.len() == effects_before {
            effects.push(Effect::Publish(backend.update()));
        }
        Ok(effects)
    }

    /// Ends an endpoint on its deregistration; returns `None` if it is not registered.
    ///
    /// `started_ms` is the start of the backend server that deregisters, if it says so: a delayed
    /// deregistration of an earlier start under the same id is ignored. An endpoint that is not
    /// registered, for instance because this node has restarted, is kept as gone, so that a delayed
    /// announcement does not register it.
    pub fn deregister(
        &mut self,
        now: Timestamp,
        endpoint: &id::Endpoint,
        started_ms: Option<u64>,
    ) -> Option<Vec<Effect>> {
        let Some(backend) = self.backends.get(endpoint) else {
            let until = match started_ms {
                Some(_) => None,
                None => Some(now.after(LATE_ANNOUNCEMENT_MAX)),
            };
            let started_ms = started_ms.unwrap_or(u64::MAX);
            self.gone.insert(endpoint.clone(), started_ms, until);
            return None;
        };
        let known_ms = backend.announcement.order.started_ms;
        if started_ms.is_some_and(|started_ms| started_ms < known_ms) {
            return Some(Vec::new());
        }
        Some(self.end_left(now, endpoint))
    }

    /// Ends an endpoint whose departure another process knows of: it was acknowledged before this
    /// process started. Its id is kept as gone, so that a delayed announcement does not register it.
    pub fn restore_departure(&mut self, now: Timestamp, departure: &Departure) -> Vec<Effect> {
        let Departure {
            endpoint,
            started_ms,
        } = departure;
        match self.backends.get(endpoint) {
            // The departure is known here as well; the calls in flight are finished.
            Some(backend) if backend.has_left => Vec::new(),
            Some(backend) if backend.announcement.order.started_ms > *started_ms => Vec::new(),
            Some(_) => self.end_left(now, endpoint),
            None => {
                if !self.gone.contains(now, endpoint, *started_ms) {
                    self.gone.insert(endpoint.clone(), *started_ms, None);
                }
                Vec::new()
            }
        }
    }

    /// Ends all endpoints because the node itself ends. Their backend servers have not left and
    /// register at its next process.
    pub fn end_all(&mut self, now: Timestamp) -> Vec<Effect> {
        let all: Vec<_> = self.backends.keys().cloned().collect();
        all.iter()
            .flat_map(|endpoint| self.apply_event(now, endpoint, Event::Ended))
            .collect()
    }

    /// Removes an endpoint that cannot be reached. Its id is not kept as gone, so its next
    /// announcement registers it again, unless its backend server has left.
    pub fn forget(&mut self, now: Timestamp, endpoint: &id::Endpoint) -> Vec<Effect> {
        let backend = self.backends.get(endpoint);
        let may_return = backend.is_some_and(|backend| !backend.has_left);
        let effects = self.apply_event(now, endpoint, Event::Expired);
        if may_return {
            self.gone.remove(endpoint);
        }
        effects
    }

    /// Ends the endpoints that were not announced within the registration timeout `renewal`.
    pub fn expire(&mut self, now: Timestamp, renewal: Span) -> Vec<Effect> {
        let expired: Vec<_> = self
            .backends
            .iter()
            .filter(|(_, backend)| now.since(backend.renewed_at) > renewal)
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        expired
            .iter()
            .flat_map(|endpoint| self.apply_event(now, endpoint, Event::Expired))
            .collect()
    }

    /// Drains an endpoint whose backend server has said in a response that it is leaving.
    pub fn leave(&mut self, now: Timestamp, endpoint: &id::Endpoint) -> Vec<Effect> {
        if let Some(backend) = self.backends.get_mut(endpoint) {
            backend.has_left = true;
        }
        self.apply_event(now, endpoint, Event::Draining)
    }

    /// Sets the limit that the backend server of an endpoint names, and publishes a change.
    pub fn set_limit(&mut self, endpoint: &id::Endpoint, limit: Option<CallRate>) -> Vec<Effect> {
        let backend = self.backends.get_mut(endpoint);
        let Some(backend) = backend.filter(|backend| backend.limit != limit) else {
            return Vec::new();
        };
        backend.limit = limit;
        vec![Effect::Publish(backend.update())]
    }

    /// Restarts the registration timeout of all endpoints after the node itself was suspended:
    /// announcements from that time are still waiting to be read.
    pub fn renew_all(&mut self, now: Timestamp) {
        for backend in self.backends.values_mut() {
            backend.renewed_at = now;
        }
    }

    /// Drains all ready endpoints because the node is shutting down.
    pub fn drain_all(&mut self, now: Timestamp) -> Vec<Effect> {
        let all: Vec<_> = self.backends.keys().cloned().collect();
        all.iter()
            .flat_map(|endpoint| self.apply_event(now, endpoint, Event::NodeStopping))
            .collect()
    }

    /// Returns the state of an endpoint and its last announcement.
    pub fn get(&self, endpoint: &id::Endpoint) -> Option<(State, &Announcement)> {
        let backend = self.backends.get(endpoint)?;
        Some((backend.state, &backend.announcement))
    }

    /// Returns whether a newer announcement of the same endpoint, or of a later start at the same
    /// address, is known.
    fn is_stale(&self, announcement: &Announcement) -> bool {
        self.backends.iter().any(|(endpoint, known)| {
            let known = &known.announcement;
            if *endpoint == announcement.endpoint {
                known.order > announcement.order
            } else {
                known.address == announcement.address
                    && known.order.started_ms > announcement.order.started_ms
            }
        })
    }

    /// Ends the endpoints that `announcement` replaces at its address.
    fn end_replaced(&mut self, now: Timestamp, announcement: &Announcement) -> Vec<Effect> {
        let others: Vec<_> = self
            .backends
            .iter()
            .filter(|(endpoint, other)| {
                let is_restarted =
                    other.announcement.order.started_ms < announcement.order.started_ms;
                other.announcement.address == announcement.address
                    && (**endpoint != announcement.endpoint || is_restarted)
            })
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        others
            .iter()
            .flat_map(|endpoint| self.apply_event(now, endpoint, Event::Ended))
            .collect()
    }

    /// Ends an endpoint whose backend server has left.
    fn end_left(&mut self, now: Timestamp, endpoint: &id::Endpoint) -> Vec<Effect> {
        if let Some(backend) = self.backends.get_mut(endpoint) {
            backend.has_left = true;
        }
        self.apply_event(now, endpoint, Event::Ended)
    }

    /// Applies `event` to an endpoint, and retires the endpoint if it is gone.
    fn apply_event(
        &mut self,
        now: Timestamp,
        endpoint: &id::Endpoint,
        event: Event,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(backend) = self.backends.get_mut(endpoint) else {
            return effects;
        };
        backend.step(now, event, &mut effects);
        if backend.state == State::Gone {
            self.retire(endpoint);
        }
        effects
    }

    /// Removes an endpoint and keeps its id as gone.
    fn retire(&mut self, endpoint: &id::Endpoint) {
        let started_ms = self.backends.remove(endpoint);
        let started_ms = started_ms.map_or(0, |backend| backend.announcement.order.started_ms);
        self.gone.insert(endpoint.clone(), started_ms, None);
    }
}

impl Backend {
    fn step(&mut self, now: Timestamp, event: Event, effects: &mut Vec<Effect>) {
        let transition = chart().step(self.state, event, |guard| match guard {});
        self.state = transition.to;
        for action in transition.actions {
            match action {
                Action::Renew => self.renewed_at = now,
                Action::Refuse => effects.push(Effect::Refuse(self.announcement.endpoint.clone())),
                Action::Publish => effects.push(Effect::Publish(self.update())),
            }
        }
    }

    /// Returns the state of the endpoint as published to the control duty.
    fn update(&self) -> LocalUpdate {
        LocalUpdate {
            endpoint: self.announcement.endpoint.clone(),
            has_left: self.has_left,
            limit: self.limit,
            release: self.announcement.release.clone(),
            service: self.announcement.service.clone(),
            slots: self.announcement.slots,
            started_ms: self.announcement.order.started_ms,
            state: match self.state {
                // Never published as `announced`: the first announcement leaves that state at once.
                State::Announced | State::Ready => EndpointState::Ready,
                State::Draining => EndpointState::Draining,
                State::Gone => EndpointState::Gone,
            },
        }
    }
}
