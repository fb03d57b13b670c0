//! How fast requests that were sent ahead are read while they are refused.
//!
//! The load that this answers: clients that send requests ahead without end, which are refused at
//! once and so arrive faster than the requests of callers that wait before they come back.

use std::time::Duration;

/// The number of consecutive refusals on a connection after which its reading pauses.
const REFUSALS_MIN: u32 = 8;

/// The pause after [`REFUSALS_MIN`] refusals; it doubles with each further refusal.
const PAUSE_MIN: Duration = Duration::from_millis(100);

/// The maximum pause.
const PAUSE_MAX: Duration = Duration::from_secs(1);

/// Returns how long a connection pauses before it reads a request that was sent ahead, after
/// `refusals` consecutive refusals.
pub fn pause(refusals: u32) -> Duration {
    match refusals.checked_sub(REFUSALS_MIN) {
        Some(further) => PAUSE_MAX.min(PAUSE_MIN * 2u32.saturating_pow(further.min(8))),
        None => Duration::ZERO,
    }
}
