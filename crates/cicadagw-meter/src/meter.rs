//! Meters.

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cicadagw_endpoint::State;
use cicadagw_ring::Gauge;
use cicadagw_unit::Version;
use cicadagw_unit::size::Bytes;

use crate::counts::Counts;
use crate::latency::{Histogram, Latency};
use crate::{Kind, Operation, Outcome, Reach, Success};

/// The number of combinations of [`Kind`] and [`Reach`].
const MESSAGES: usize = Kind::ALL.len() * Reach::ALL.len();

/// The number of combinations of [`Operation`] and [`Success`].
const OPERATIONS: usize = Operation::ALL.len() * Success::ALL.len();

/// The states of endpoints that are counted.
pub(crate) const STATES: [State; 3] = [State::Ready, State::Draining, State::Gone];

/// The counters of one process; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Meter(Arc<Counters>);

#[derive(Debug, Default)]
struct Counters {
    calls: Counts<{ Outcome::ALL.len() }>,
    draining: AtomicBool,
    endpoints: Counts<{ STATES.len() }>,
    held: AtomicU64,
    in_flight: AtomicU64,
    latency: Histogram,
    platform: Counts<OPERATIONS>,
    received: Counts<MESSAGES>,
    retries: AtomicU64,
    rings: Mutex<Vec<Gauge>>,
    seen: AtomicU64,
    sent: Counts<MESSAGES>,
}

/// Whether a node may be given calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Readiness {
    /// The node holds no whole version yet.
    Empty,
    /// The node holds a whole version.
    Ready,
    /// The node finishes what is in flight and leaves.
    Draining,
}

impl fmt::Display for Readiness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Empty => "no whole version is held yet",
            Self::Ready => "a whole version is held",
            Self::Draining => "the node is draining",
        })
    }
}

/// Counts a call as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight(Meter);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What the control duty counts.
impl Meter {
    /// Notes that `version` is held; a lower one changes nothing.
    pub fn hold(&self, version: Version) {
        self.0.held.fetch_max(version.get(), Ordering::Relaxed);
        self.see(version);
    }

    /// Notes that `version` exists.
    pub fn see(&self, version: Version) {
        self.0.seen.fetch_max(version.get(), Ordering::Relaxed);
    }

    /// Notes that the node leaves.
    pub fn drain(&self) {
        self.0.draining.store(true, Ordering::Relaxed);
    }

    /// Sets how many endpoints are in `state`.
    pub fn set_endpoints(&self, state: State, number: u64) {
        self.0.endpoints.set(state_index(state), number);
    }

    /// Adds a ring to those that are shown.
    pub fn add_ring(&self, gauge: Gauge) {
        self.rings_mut(|rings| rings.push(gauge));
    }
}

/// What the duties for links and for the platform count.
impl Meter {
    /// Counts a message that was sent to another node.
    pub fn sent(&self, kind: Kind, reach: Reach, bytes: Bytes) {
        self.0.sent.add(message_index(kind, reach), bytes.get());
    }

    /// Counts a message that came from another node.
    pub fn received(&self, kind: Kind, reach: Reach, bytes: Bytes) {
        self.0.received.add(message_index(kind, reach), bytes.get());
    }

    /// Counts a call to the platform.
    pub fn platform_called(&self, operation: Operation, success: Success) {
        self.0.platform.add(operation_index(operation, success), 1);
    }
}

/// What the duty for calls counts.
impl Meter {
    /// Counts a call as in flight until what is returned is dropped.
    pub fn begin_call(&self) -> InFlight {
        self.0.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(self.clone())
    }

    /// Counts a call that ended.
    pub fn call_ended(&self, outcome: Outcome) {
        self.0.calls.add(outcome.index(), 1);
    }

    /// Counts an attempt after the first.
    pub fn retried(&self) {
        self.0.retries.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the time that this node added to a call.
    pub fn added(&self, time: Duration) {
        self.0.latency.record(time);
    }
}

/// What the admin duty reads.
impl Meter {
    /// Returns the version held; zero when there is none yet.
    pub fn held(&self) -> Version {
        Version::new(self.0.held.load(Ordering::Relaxed))
    }

    /// Returns the highest version seen.
    pub fn seen(&self) -> Version {
        Version::new(self.0.seen.load(Ordering::Relaxed))
    }

    /// Tells whether the node may be given calls.
    pub fn readiness(&self) -> Readiness {
        if self.0.draining.load(Ordering::Relaxed) {
            return Readiness::Draining;
        }
        if self.held() == Version::default() {
            return Readiness::Empty;
        }
        Readiness::Ready
    }

    /// Returns how many bytes of messages of `kind` were sent.
    pub fn sent_bytes(&self, kind: Kind, reach: Reach) -> Bytes {
        Bytes::new(self.0.sent.get(message_index(kind, reach)))
    }

    /// Returns how many bytes of messages of `kind` came in.
    pub fn received_bytes(&self, kind: Kind, reach: Reach) -> Bytes {
        Bytes::new(self.0.received.get(message_index(kind, reach)))
    }

    /// Returns how many calls to the platform there were.
    pub fn platform_calls(&self, operation: Operation, success: Success) -> u64 {
        self.0.platform.get(operation_index(operation, success))
    }

    /// Returns how many endpoints are in `state`.
    pub fn endpoints(&self, state: State) -> u64 {
        self.0.endpoints.get(state_index(state))
    }

    /// Returns how many calls ended with `outcome`.
    pub fn calls(&self, outcome: Outcome) -> u64 {
        self.0.calls.get(outcome.index())
    }

    /// Returns how many calls are in flight.
    pub fn in_flight(&self) -> u64 {
        self.0.in_flight.load(Ordering::Relaxed)
    }

    /// Returns how many attempts after the first there were.
    pub fn retries(&self) -> u64 {
        self.0.retries.load(Ordering::Relaxed)
    }

    /// Returns the times that this node added to calls.
    pub fn latency(&self) -> Latency {
        self.0.latency.read()
    }

    /// Returns the gauges of the rings.
    pub fn rings(&self) -> Vec<Gauge> {
        self.rings_mut(|rings| rings.clone())
    }

    fn rings_mut<T>(&self, take: impl FnOnce(&mut Vec<Gauge>) -> T) -> T {
        let mut rings = self.0.rings.lock().unwrap_or_else(PoisonError::into_inner);
        take(&mut rings)
    }
}

fn message_index(kind: Kind, reach: Reach) -> usize {
    kind.index() * Reach::ALL.len() + reach.index()
}

fn operation_index(operation: Operation, success: Success) -> usize {
    operation.index() * Success::ALL.len() + success.index()
}

fn state_index(state: State) -> usize {
    match state {
        State::Ready => 0,
        State::Draining => 1,
        State::Gone => 2,
    }
}
