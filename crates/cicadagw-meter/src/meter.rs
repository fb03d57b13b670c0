//! Meters.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use cicadagw_endpoint::State;
use cicadagw_ring::Gauge;
use cicadagw_unit::Version;

use crate::counts::Counts;
use crate::{Operation, Success};

/// The number of combinations of [`Operation`] and [`Success`].
const OPERATIONS: usize = Operation::ALL.len() * Success::ALL.len();

/// The number of states of endpoints.
const STATES: usize = 3;

/// What the control and platform duties count, and the rings of the process; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Meter(Arc<Counters>);

#[derive(Debug, Default)]
struct Counters {
    endpoints: Counts<STATES>,
    held: AtomicU64,
    platform: Counts<OPERATIONS>,
    rings: Mutex<Vec<Gauge>>,
    seen: AtomicU64,
}

/// What the duties write.
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

    /// Sets how many endpoints are in `state`.
    pub fn set_endpoints(&self, state: State, number: u64) {
        self.0.endpoints.set(state_index(state), number);
    }

    /// Adds a ring to those that are shown.
    pub fn add_ring(&self, gauge: Gauge) {
        self.rings_mut(|rings| rings.push(gauge));
    }

    /// Counts a call to the platform.
    pub fn platform_called(&self, operation: Operation, success: Success) {
        self.0.platform.add(operation_index(operation, success), 1);
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

    /// Returns how many calls to the platform there were.
    pub fn platform_calls(&self, operation: Operation, success: Success) -> u64 {
        self.0.platform.get(operation_index(operation, success))
    }

    /// Returns how many endpoints are in `state`.
    pub fn endpoints(&self, state: State) -> u64 {
        self.0.endpoints.get(state_index(state))
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
