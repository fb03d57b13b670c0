//! Running averages that fade.

use cicadagw_unit::time::{Span, Timestamp};

use crate::average::smooth;

/// A running average that returns to its base while nothing is measured.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fading {
    value: u64,
    base: u64,
    at: Timestamp,
    half_life: Span,
}

impl Fading {
    pub(super) const fn new(base: u64, half_life: Span) -> Self {
        Self {
            value: base,
            base,
            at: Timestamp::new(0),
            half_life,
        }
    }

    pub(super) fn get(&self, now: Timestamp) -> u64 {
        let halvings = (now.since(self.at).get() / self.half_life.get()).min(63);
        if self.value >= self.base {
            self.base + ((self.value - self.base) >> halvings)
        } else {
            self.base - ((self.base - self.value) >> halvings)
        }
    }

    pub(super) fn learn(&mut self, now: Timestamp, value: u64) {
        self.value = smooth(self.get(now), value);
        self.at = now;
    }
}
