//! A rate limiter.

use cicadagw_unit::time::{Span, Timestamp};

/// Admits one operation per `interval`, and up to `burst` at once after a pause.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateLimiter {
    interval: Span,
    /// The time that `burst` operations take at the average rate.
    burst: Span,
    /// The time up to which the operations admitted so far use up the average rate.
    until: Timestamp,
}

impl RateLimiter {
    /// Creates a rate limiter that admits a full burst.
    pub const fn new(interval: Span, burst: u64) -> Self {
        Self {
            interval,
            burst: interval.times(burst),
            until: Timestamp::new(0),
        }
    }

    /// Admits one operation at `now`, and returns how long to wait before it.
    pub fn take(&mut self, now: Timestamp) -> Span {
        let until = self.until.max(now).after(self.interval);
        self.until = until;
        let ahead = until.since(now).get();
        Span::new(ahead.saturating_sub(self.burst.get()))
    }
}
