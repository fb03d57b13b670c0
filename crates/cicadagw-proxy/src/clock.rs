//! The proxy's monotonic clock.

use std::time::Duration;

use cicadagw_unit::time::{Span, Timestamp};
use tokio::time::Instant;

/// Counts milliseconds since the proxy started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    pub(crate) fn now(self) -> Timestamp {
        Timestamp::new(Span::from(self.0.elapsed()).get())
    }

    /// Converts a timestamp of this clock to an instant.
    pub(crate) fn instant(self, timestamp: Timestamp) -> Instant {
        self.0 + Duration::from_millis(timestamp.get())
    }
}
