//! Moving averages that decay over time.

use cicadagw_unit::time::{Span, Timestamp};

use crate::average::smooth;

/// A moving average that decays towards its base value while there are no samples.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecayingAverage {
    /// The average at `updated_at`.
    value: u64,
    /// The value without samples.
    base: u64,
    updated_at: Timestamp,
    /// How long the difference from `base` takes to halve.
    half_life: Span,
}

impl DecayingAverage {
    pub(super) const fn new(base: u64, half_life: Span) -> Self {
        Self {
            value: base,
            base,
            updated_at: Timestamp::new(0),
            half_life,
        }
    }

    pub(super) fn get(&self, now: Timestamp) -> u64 {
        let halvings = (now.since(self.updated_at).get() / self.half_life.get()).min(63);
        if self.value >= self.base {
            self.base + ((self.value - self.base) >> halvings)
        } else {
            self.base - ((self.base - self.value) >> halvings)
        }
    }

    pub(super) fn record(&mut self, now: Timestamp, value: u64) {
        self.value = smooth(self.get(now), value);
        self.updated_at = now;
    }
}
