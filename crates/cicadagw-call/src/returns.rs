//! When the callers of a service whose backend servers name rate limits are asked to come back.

use cicadagw_unit::rate::CallRate;
use cicadagw_unit::time::{Span, Timestamp};

/// The shortest time after which the caller of a refused call is asked to come back.
const RETURN_MIN: Span = Span::new(200);

/// The longest time after which the caller of a refused call is asked to come back.
const RETURN_MAX: Span = Span::seconds(2);

/// The times at which one node asks the callers of a limited service to come back: one after the
/// other, at this node's share of what the limits allow, so that they are not refused again
/// together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Returns {
    /// The time given to the last caller.
    last: Timestamp,
}

impl Returns {
    /// Returns how long the next caller is asked to wait. `share` is this node's share of the limits
    /// of all endpoints.
    pub fn next(&mut self, now: Timestamp, share: CallRate) -> Span {
        // A thousandth of a call per second has an interval of a million milliseconds.
        let interval = Span::new(1_000_000 / share.milli().max(1));
        let earliest = now.after(RETURN_MIN);
        let latest = now.after(RETURN_MAX);
        self.last = self.last.after(interval).clamp(earliest, latest);
        self.last.since(now)
    }
}
