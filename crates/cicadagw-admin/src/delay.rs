//! Delays between attempts to serve pages.

use std::time::Duration;

/// The delay before the second attempt.
const FIRST: Duration = Duration::from_secs(1);

/// The longest delay.
const MAX: Duration = Duration::from_secs(30);

/// The delays after attempts that failed one after the other: 1 s, doubled each time up to 30 s.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Delay {
    failures: u32,
}

impl Delay {
    /// Returns how long to wait after one more attempt has failed.
    pub fn after_failure(&mut self) -> Duration {
        let factor = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        self.failures = self.failures.saturating_add(1);
        FIRST.saturating_mul(factor).min(MAX)
    }
}
