//! The clock that decisions get their time from.

use std::time::Instant;

use cicadagw_unit::time::{Span, Timestamp};

/// Tells the time since the process began.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    pub(crate) fn now(self) -> Timestamp {
        Timestamp::default().after(Span::from(self.0.elapsed()))
    }
}
