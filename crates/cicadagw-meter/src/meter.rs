//! The counters of the control and platform duties.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use cicadagw_endpoint::State;
use cicadagw_ring::Gauge;
use cicadagw_unit::Version;
use cicadagw_unit::time::Span;

use crate::counts::Counts;
use crate::{Operation, PlatformOutcome};

/// The number of combinations of [`Operation`] and [`PlatformOutcome`].
const OPERATIONS: usize = Operation::ALL.len() * PlatformOutcome::ALL.len();

/// The number of endpoint states.
const STATES: usize = 3;

/// The number of states of a rollout.
const ROLLOUT_STATES: usize = 3;

/// The counters of the control and platform duties, and the gauges of all ring buffers; clones share
/// them.
#[derive(Clone, Debug, Default)]
pub struct Meter(Arc<Counters>);

#[derive(Debug, Default)]
struct Counters {
    /// The age of the last confirmation of the configuration, in milliseconds.
    confirmed_age: AtomicU64,
    endpoints: Counts<STATES>,
    /// The highest version that the node has held.
    held: AtomicU64,
    platform: Counts<OPERATIONS>,
    /// The number of restores of the platform's store that this node has noticed.
    platform_restores: AtomicU64,
    /// The number of accounts of whose quotas this node owns a part that is in use.
    quotas_owned: AtomicU64,
    rollouts: Counts<ROLLOUT_STATES>,
    /// The number of rollouts that this node leads.
    rollouts_led: AtomicU64,
    rings: Mutex<Vec<Gauge>>,
    /// The highest version known to exist.
    seen: AtomicU64,
}

/// The writing side, for the duties.
impl Meter {
    /// Records that the node holds `version`; one that is lower than before changes nothing.
    pub fn record_held(&self, version: Version) {
        self.0.held.fetch_max(version.get(), Ordering::Relaxed);
        self.record_seen(version);
    }

    /// Records that `version` exists, whether the node holds it or not.
    pub fn record_seen(&self, version: Version) {
        self.0.seen.fetch_max(version.get(), Ordering::Relaxed);
    }

    /// Sets how long ago the platform last confirmed the configuration.
    pub fn set_confirmed_age(&self, age: Span) {
        self.0.confirmed_age.store(age.get(), Ordering::Relaxed);
    }

    /// Sets the number of known endpoints in `state`.
    pub fn set_endpoints(&self, state: State, number: u64) {
        self.0.endpoints.set(state_index(state), number);
    }

    /// Sets the number of accounts of whose quotas this node owns a part that is in use.
    pub fn set_quotas_owned(&self, number: u64) {
        self.0.quotas_owned.store(number, Ordering::Relaxed);
    }

    /// Sets the numbers of known rollouts that are running, done and rolled back.
    pub fn set_rollouts(&self, numbers: [u64; ROLLOUT_STATES]) {
        for (index, number) in numbers.into_iter().enumerate() {
            self.0.rollouts.set(index, number);
        }
    }

    /// Sets the number of rollouts that this node leads.
    pub fn set_rollouts_led(&self, number: u64) {
        self.0.rollouts_led.store(number, Ordering::Relaxed);
    }

    /// Adds the gauge of a ring buffer to those in dumps and metrics.
    pub fn add_ring(&self, gauge: Gauge) {
        self.with_rings(|rings| rings.push(gauge));
    }

    /// Counts a call to the platform that ended with `outcome`.
    pub fn count_platform_call(&self, operation: Operation, outcome: PlatformOutcome) {
        self.0.platform.add(operation_index(operation, outcome), 1);
    }

    /// Counts a restore of the platform's store from a copy.
    pub fn count_platform_restore(&self) {
        self.0.platform_restores.fetch_add(1, Ordering::Relaxed);
    }
}

/// The reading side, for the admin duty.
impl Meter {
    /// Returns the version held; zero when there is none yet.
    pub fn version_held(&self) -> Version {
        Version::new(self.0.held.load(Ordering::Relaxed))
    }

    /// Returns the highest version known to exist.
    pub fn highest_seen(&self) -> Version {
        Version::new(self.0.seen.load(Ordering::Relaxed))
    }

    /// Returns how long ago the platform last confirmed the configuration.
    pub fn confirmed_age(&self) -> Span {
        Span::new(self.0.confirmed_age.load(Ordering::Relaxed))
    }

    /// Returns the number of calls to the platform of `operation` that ended with `outcome`.
    pub fn platform_calls(&self, operation: Operation, outcome: PlatformOutcome) -> u64 {
        self.0.platform.get(operation_index(operation, outcome))
    }

    /// Returns the number of restores of the platform's store that this node has noticed.
    pub fn platform_restores(&self) -> u64 {
        self.0.platform_restores.load(Ordering::Relaxed)
    }

    /// Returns the number of known endpoints in `state`.
    pub fn endpoints(&self, state: State) -> u64 {
        self.0.endpoints.get(state_index(state))
    }

    /// Returns the number of accounts of whose quotas this node owns a part that is in use.
    pub fn quotas_owned(&self) -> u64 {
        self.0.quotas_owned.load(Ordering::Relaxed)
    }

    /// Returns the numbers of known rollouts that are running, done and rolled back.
    pub fn rollouts(&self) -> [u64; ROLLOUT_STATES] {
        std::array::from_fn(|index| self.0.rollouts.get(index))
    }

    /// Returns the number of rollouts that this node leads.
    pub fn rollouts_led(&self) -> u64 {
        self.0.rollouts_led.load(Ordering::Relaxed)
    }

    /// Returns the gauges of the ring buffers.
    pub fn rings(&self) -> Vec<Gauge> {
        self.with_rings(|rings| rings.clone())
    }

    fn with_rings<T>(&self, access: impl FnOnce(&mut Vec<Gauge>) -> T) -> T {
        let mut rings = self.0.rings.lock().unwrap_or_else(PoisonError::into_inner);
        access(&mut rings)
    }
}

fn operation_index(operation: Operation, outcome: PlatformOutcome) -> usize {
    operation.index() * PlatformOutcome::ALL.len() + outcome.index()
}

fn state_index(state: State) -> usize {
    match state {
        State::Ready => 0,
        State::Draining => 1,
        State::Gone => 2,
    }
}
