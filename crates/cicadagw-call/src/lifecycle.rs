//! The backend servers of a node's own host, from their first announcement to their end, as
//! `charts/backend.jsonc` lays them down.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::LazyLock;

use cicadagw_chart::names;
use cicadagw_endpoint::{LocalUpdate, State as Told};
use cicadagw_unit::id;
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::{Span, Timestamp};

names! {
    /// Where an endpoint stands.
    pub enum State {
        /// It was heard of.
        Announced = "announced",
        /// It takes work.
        Ready = "ready",
        /// It finishes its work and takes no new work.
        Draining = "draining",
        /// It is gone for good.
        Gone = "gone",
    }
}

names! {
    /// What happens to an endpoint.
    pub enum Event {
        /// It says that it takes work.
        Ready = "ready",
        /// It says that it drains.
        Draining = "draining",
        /// It says that it ends, or another one took its address.
        End = "end",
        /// It has said nothing for too long.
        Silence = "silence",
        /// The node stops.
        Stop = "stop",
    }
}

names! {
    /// No rule of this chart has a guard.
    pub enum Guard {}
}

names! {
    /// What is to be done for an endpoint.
    pub enum Action {
        /// Note that it was heard of.
        Renew = "renew",
        /// Refuse the calls that wait for it.
        Refuse = "refuse",
        /// Tell the control duty.
        Tell = "tell",
    }
}

/// The chart of an endpoint's life.
pub type Chart = cicadagw_chart::Chart<State, Event, Guard, Action>;

/// How many ended ids are remembered, so that they cannot come back.
const GONE_MAX: usize = 1_024;

/// Returns the chart of an endpoint's life.
pub fn chart() -> &'static Chart {
    static CHART: LazyLock<Chart> = LazyLock::new(|| {
        let text = include_str!("../../../charts/backend.jsonc");
        Chart::load("charts/backend.jsonc", text).expect("the embedded chart is checked by a test")
    });
    &CHART
}

/// Which of two announcements is newer; the default, where a backend server does not tell, is
/// neither.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Order {
    /// When the backend server started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Counts the announcements since then.
    pub sequence: u64,
}

/// What a backend server says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// Where it takes calls.
    pub address: SocketAddr,
    /// How many connections it takes.
    pub connections: Slots,
    /// Its id, new for every start.
    pub endpoint: id::Endpoint,
    /// How many calls it says that it runs now.
    pub in_flight: Slots,
    /// Whether it drains.
    pub is_draining: bool,
    /// Which of two announcements is newer.
    pub order: Order,
    /// The service.
    pub service: id::Service,
    /// How many calls it runs at once.
    pub slots: Slots,
}

/// What is to be done after a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Refuse the calls that wait for the endpoint.
    Refuse(id::Endpoint),
    /// Tell the control duty.
    Publish(LocalUpdate),
}

/// Says that an id was used before and is gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Gone;

/// The backend servers of a host.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    backends: BTreeMap<id::Endpoint, Backend>,
    /// The endpoints that ended, and when each had started.
    gone: VecDeque<(id::Endpoint, u64)>,
}

/// One backend server.
#[derive(Clone, Debug)]
struct Backend {
    said: Announcement,
    state: State,
    renewed: Timestamp,
}

impl Registry {
    /// Takes in what a backend server says of itself. Another endpoint at the same address is gone;
    /// so is what ran under the same id before. What is older than what was said before has no
    /// effect.
    ///
    /// # Errors
    ///
    /// [`Gone`] when its id was used before and is gone.
    pub fn announce(&mut self, now: Timestamp, said: &Announcement) -> Result<Vec<Effect>, Gone> {
        let ended = |(endpoint, born): &(id::Endpoint, u64)| {
            *endpoint == said.endpoint && *born >= said.order.started_ms
        };
        if self.gone.iter().any(ended) {
            return Err(Gone);
        }
        if self.is_overtaken(said) {
            return Ok(Vec::new());
        }
        let mut effects = self.end_others(now, said);
        let backend = self
            .backends
            .entry(said.endpoint.clone())
            .or_insert_with(|| Backend {
                said: said.clone(),
                state: chart().initial(),
                renewed: now,
            });
        let is_resized = backend.said.slots != said.slots;
        backend.said = said.clone();
        let event = if said.is_draining {
            Event::Draining
        } else {
            Event::Ready
        };
        let before = effects.len();
        backend.step(now, event, &mut effects);
        if is_resized && effects.len() == before {
            effects.push(Effect::Publish(backend.local()));
        }
        Ok(effects)
    }

    /// Ends an endpoint; `None` when it is not known.
    pub fn deregister(&mut self, now: Timestamp, endpoint: &id::Endpoint) -> Option<Vec<Effect>> {
        self.backends
            .contains_key(endpoint)
            .then(|| self.apply(now, endpoint, Event::End))
    }

    /// Forgets an endpoint that cannot be reached; it comes back with its next announcement.
    pub fn forget(&mut self, now: Timestamp, endpoint: &id::Endpoint) -> Vec<Effect> {
        let effects = self.apply(now, endpoint, Event::Silence);
        self.gone.retain(|(gone, _)| gone != endpoint);
        effects
    }

    /// Ends those that were silent for longer than `renewal`.
    pub fn expire(&mut self, now: Timestamp, renewal: Span) -> Vec<Effect> {
        let silent: Vec<_> = self
            .backends
            .iter()
            .filter(|(_, backend)| now.since(backend.renewed) > renewal)
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        silent
            .iter()
            .flat_map(|endpoint| self.apply(now, endpoint, Event::Silence))
            .collect()
    }

    /// Takes note that the node itself stood still: what was said to it meanwhile still waits to be
    /// read, so the renewal time of all begins anew.
    pub fn renew_all(&mut self, now: Timestamp) {
        for backend in self.backends.values_mut() {
            backend.renewed = now;
        }
    }

    /// Lets all drain, since the node stops.
    pub fn drain_all(&mut self, now: Timestamp) -> Vec<Effect> {
        let all: Vec<_> = self.backends.keys().cloned().collect();
        all.iter()
            .flat_map(|endpoint| self.apply(now, endpoint, Event::Stop))
            .collect()
    }

    /// Returns where an endpoint stands and what it said last.
    pub fn get(&self, endpoint: &id::Endpoint) -> Option<(State, &Announcement)> {
        let backend = self.backends.get(endpoint)?;
        Some((backend.state, &backend.said))
    }

    /// Returns the ids of those that are not gone.
    pub fn endpoints(&self) -> impl Iterator<Item = &id::Endpoint> {
        self.backends.keys()
    }

    /// Tells whether something newer was heard of the same endpoint, or of another one at its
    /// address.
    fn is_overtaken(&self, said: &Announcement) -> bool {
        self.backends.iter().any(|(endpoint, known)| {
            let known = &known.said;
            if *endpoint == said.endpoint {
                known.order > said.order
            } else {
                known.address == said.address && known.order.started_ms > said.order.started_ms
            }
        })
    }

    fn end_others(&mut self, now: Timestamp, said: &Announcement) -> Vec<Effect> {
        let others: Vec<_> = self
            .backends
            .iter()
            .filter(|(endpoint, other)| {
                let is_restarted = other.said.order.started_ms < said.order.started_ms;
                other.said.address == said.address && (**endpoint != said.endpoint || is_restarted)
            })
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        others
            .iter()
            .flat_map(|endpoint| self.apply(now, endpoint, Event::End))
            .collect()
    }

    fn apply(&mut self, now: Timestamp, endpoint: &id::Endpoint, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(backend) = self.backends.get_mut(endpoint) else {
            return effects;
        };
        backend.step(now, event, &mut effects);
        if backend.state == State::Gone {
            self.remove(endpoint);
        }
        effects
    }

    fn remove(&mut self, endpoint: &id::Endpoint) {
        let born = self.backends.remove(endpoint);
        let born = born.map_or(0, |backend| backend.said.order.started_ms);
        self.gone.push_back((endpoint.clone(), born));
        if self.gone.len() > GONE_MAX {
            self.gone.pop_front();
        }
    }
}

impl Backend {
    fn step(&mut self, now: Timestamp, event: Event, effects: &mut Vec<Effect>) {
        let step = chart().step(self.state, event, |guard| match guard {});
        self.state = step.to;
        for action in step.actions {
            match action {
                Action::Renew => self.renewed = now,
                Action::Refuse => effects.push(Effect::Refuse(self.said.endpoint.clone())),
                Action::Tell => effects.push(Effect::Publish(self.local())),
            }
        }
    }

    fn local(&self) -> LocalUpdate {
        LocalUpdate {
            endpoint: self.said.endpoint.clone(),
            service: self.said.service.clone(),
            slots: self.said.slots,
            state: match self.state {
                State::Announced | State::Ready => Told::Ready,
                State::Draining => Told::Draining,
                State::Gone => Told::Gone,
            },
        }
    }
}
