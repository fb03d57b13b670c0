//! The clock that supplies the time to the control and gossip cores.

use std::time::Instant;

use cicadagw_unit::time::{Span, Timestamp};

/// A monotonic clock that counts from the moment at which it was started.
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
