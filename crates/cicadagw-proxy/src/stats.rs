//! What the calls duty counts.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cicadagw_call::balancer::Summary;
use cicadagw_call::{Load, Outcome, lifecycle};
use cicadagw_meter::{Histogram, Latency};
use cicadagw_unit::id;
use cicadagw_unit::size::Slots;

/// What the calls duty counts; other threads may read it at any time.
#[derive(Debug, Default)]
pub struct Stats {
    added: Histogram,
    answered: AtomicU64,
    in_flight: AtomicU64,
    not_run: AtomicU64,
    retries: AtomicU64,
    shed: AtomicU64,
    unknown: AtomicU64,
    state: Mutex<State>,
}

/// The counts at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Counts {
    /// Calls that got the backend server's answer.
    pub answered: u64,
    /// Calls that are under way.
    pub in_flight: u64,
    /// Calls that were refused before anything ran.
    pub not_run: u64,
    /// Attempts after the first one.
    pub retries: u64,
    /// Calls that backend servers of this host had no room for.
    pub shed: u64,
    /// Calls of which nobody knows whether they ran.
    pub unknown: u64,
}

/// How the duty stands, as of its last look.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// The backend servers of this host.
    pub backends: Vec<Backend>,
    /// Whether the node stops.
    pub is_stopping: bool,
    /// The endpoints that calls of this node go to, by service.
    pub services: Vec<(id::Service, Vec<Summary>)>,
}

/// A backend server of this host.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Its endpoint id.
    pub endpoint: id::Endpoint,
    /// Its service.
    pub service: id::Service,
    /// Where it stands.
    pub state: lifecycle::State,
    /// How busy it is as its node sees it.
    pub load: Load,
    /// How many calls it says that it runs.
    pub says_in_flight: Slots,
}

impl Stats {
    /// Returns the counts.
    pub fn counts(&self) -> Counts {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        Counts {
            answered: read(&self.answered),
            in_flight: read(&self.in_flight),
            not_run: read(&self.not_run),
            retries: read(&self.retries),
            shed: read(&self.shed),
            unknown: read(&self.unknown),
        }
    }

    /// Returns how the duty stood at its last look.
    pub fn state(&self) -> State {
        self.state.lock().map_or_else(
            |poisoned| poisoned.into_inner().clone(),
            |state| state.clone(),
        )
    }

    /// Returns the times that this node added to answered calls.
    pub fn latency(&self) -> Latency {
        self.added.read()
    }

    /// Counts the time that this node added to an answered call.
    pub(crate) fn count_added(&self, time: Duration) {
        self.added.record(time);
    }

    pub(crate) fn count_outcome(&self, outcome: Outcome) {
        let count = match outcome {
            Outcome::Answered => &self.answered,
            Outcome::NotRun => &self.not_run,
            Outcome::Unknown => &self.unknown,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_retry(&self) {
        self.retries.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_shed(&self) {
        self.shed.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn enter(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn leave(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    pub(crate) fn publish(&self, state: State) {
        match self.state.lock() {
            Ok(mut held) => *held = state,
            Err(mut poisoned) => **poisoned.get_mut() = state,
        }
    }
}
