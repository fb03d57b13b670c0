//! The rate of recent events.

use cicadagw_unit::rate::CallRate;
use cicadagw_unit::time::{Span, Timestamp};

/// The length of a counting period.
const PERIOD: Span = Span::seconds(2);

/// Counts events, and returns their rate over the last period.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    /// When the current period began.
    began: Timestamp,
    /// The events of the current period.
    current: u32,
    /// The events of the period before.
    previous: u32,
}

impl Demand {
    /// Counts `number` events.
    pub(super) fn add(&mut self, now: Timestamp, number: u32) {
        self.advance(now);
        self.current = self.current.saturating_add(number);
    }

    /// Returns the rate of events: those of the current period, and of the period before as far as
    /// they lie within a period's length.
    pub(super) fn rate(&mut self, now: Timestamp) -> CallRate {
        self.advance(now);
        let rest = PERIOD.get().saturating_sub(now.since(self.began).get());
        let previous = u64::from(self.previous) * rest / PERIOD.get();
        let events = u64::from(self.current) + previous;
        CallRate::from_milli(events * 1_000_000 / PERIOD.get())
    }

    /// Begins a new period when the current one is over.
    fn advance(&mut self, now: Timestamp) {
        let elapsed = now.since(self.began);
        if elapsed < PERIOD {
            return;
        }
        let is_next = elapsed < PERIOD.times(2);
        self.previous = if is_next { self.current } else { 0 };
        self.current = 0;
        self.began = if is_next {
            self.began.after(PERIOD)
        } else {
            now
        };
    }
}
