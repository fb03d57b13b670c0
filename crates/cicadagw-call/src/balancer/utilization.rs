//! How busy the endpoints of a service are on average.

use cicadagw_unit::time::{Span, Timestamp};

use super::decay::DecayingAverage;
use super::endpoint::TIERS;
use crate::Load;

/// The half-life of an average without load reports, after which the endpoints are tried again.
const HALF_LIFE: Span = Span::seconds(1);

/// How long a sparse average looks back: a report after a pause of this length replaces it.
const WINDOW: Span = Span::new(500);

/// The smallest weight of a report in a sparse average, in thousandths.
const WEIGHT_MIN: u64 = 125;

/// The largest utilization of one sample, in thousandths; another node may report an odd load.
const SAMPLE_MAX: u64 = 10_000;

/// The average utilization of the endpoints of a service, from their load reports.
#[derive(Clone, Copy, Debug)]
pub(super) struct Utilization {
    all: DecayingAverage,
    other_regions: SparseAverage,
}

/// An average utilization from reports that may be seldom, in thousandths of the slots; zero before
/// the first one. The longer the pause before a report, the more it weighs.
#[derive(Clone, Copy, Debug, Default)]
struct SparseAverage {
    value: u64,
    updated_at: Option<Timestamp>,
}

impl Default for Utilization {
    fn default() -> Self {
        Self {
            all: DecayingAverage::new(0, HALF_LIFE),
            other_regions: SparseAverage::default(),
        }
    }
}

impl Utilization {
    /// Returns the average utilization of all endpoints, in thousandths of their slots.
    pub(super) fn of_all(&self, now: Timestamp) -> u64 {
        self.all.get(now)
    }

    /// Returns the average utilization of the endpoints of other regions, in thousandths of their
    /// slots.
    pub(super) fn of_other_regions(&self, now: Timestamp) -> u64 {
        self.other_regions.get(now)
    }

    /// Records the load that an endpoint of `tier` reported.
    pub(super) fn record(&mut self, now: Timestamp, tier: usize, load: Load) {
        let slots = u64::from(load.slots.get().max(1));
        let sample = (u64::from(load.in_flight.get()) * 1_000 / slots).min(SAMPLE_MAX);
        self.all.record(now, sample);
        if tier == TIERS - 1 {
            self.other_regions.record(now, sample);
        }
    }
}

impl SparseAverage {
    fn get(&self, now: Timestamp) -> u64 {
        let Some(updated_at) = self.updated_at else {
            return 0;
        };
        let halvings = now.since(updated_at).get() / HALF_LIFE.get();
        self.value >> halvings.min(63)
    }

    fn record(&mut self, now: Timestamp, sample: u64) {
        let pause = self
            .updated_at
            .map_or(WINDOW, |updated_at| now.since(updated_at).min(WINDOW));
        let weight = (pause.get() * 1_000 / WINDOW.get()).max(WEIGHT_MIN);
        self.value = (self.get(now) * (1_000 - weight) + sample * weight) / 1_000;
        self.updated_at = Some(now);
    }
}
