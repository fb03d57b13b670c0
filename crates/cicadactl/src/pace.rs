//! A limit on how often something is done.

use cicadagw_unit::time::{Span, Timestamp};

/// Lets something happen once in `every`, and `burst` times at once after a rest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pace {
    every: Span,
    burst: Span,
    /// When everything let through so far is worked off.
    until: Timestamp,
}

impl Pace {
    /// Creates a pace that has rested.
    pub const fn new(every: Span, burst: u64) -> Self {
        Self {
            every,
            burst: every.times(burst),
            until: Timestamp::new(0),
        }
    }

    /// Takes one turn at `now`, and returns how long to wait before it.
    pub fn take(&mut self, now: Timestamp) -> Span {
        let until = self.until.max(now).after(self.every);
        self.until = until;
        let ahead = until.since(now).get();
        Span::new(ahead.saturating_sub(self.burst.get()))
    }
}
