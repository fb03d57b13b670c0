//! The clock of the duty.

use std::time::Duration;

use cicadagw_unit::time::{Span, Timestamp};
use tokio::time::Instant;

/// Milliseconds since the duty began.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    pub(crate) fn now(self) -> Timestamp {
        Timestamp::new(Span::from(self.0.elapsed()).get())
    }

    /// Returns the instant that is `moment`.
    pub(crate) fn instant(self, moment: Timestamp) -> Instant {
        self.0 + Duration::from_millis(moment.get())
    }
}
