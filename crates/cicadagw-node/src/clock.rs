//! The clocks that supply the time to the control and gossip cores.

use std::time::Instant;

use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_view::host_time;

/// A clock that counts from the moment at which it was started.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Clock {
    /// Stands still while the host is suspended.
    Steady(Instant),
    /// Also runs while the host is suspended; it holds the host's time at its start.
    Host(Timestamp),
}

impl Clock {
    /// Starts a clock that stands still while the host is suspended.
    pub(crate) fn start() -> Self {
        Self::Steady(Instant::now())
    }

    /// Starts a clock that also runs while the host is suspended, with `origin` as its start.
    pub(crate) const fn from_host_time(origin: Timestamp) -> Self {
        Self::Host(origin)
    }

    pub(crate) fn now(self) -> Timestamp {
        let elapsed = match self {
            Self::Steady(start) => Span::from(start.elapsed()),
            Self::Host(origin) => host_time().since(origin),
        };
        Timestamp::default().after(elapsed)
    }
}
