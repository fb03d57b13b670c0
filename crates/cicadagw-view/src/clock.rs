//! The clock on which the age of the configuration is measured.

use cicadagw_unit::time::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// The time that [`host_time`] shows when the host starts, in milliseconds. Times before the start
/// of the host can then be expressed as well.
const START_MS: u64 = 3_600_000;

/// Returns the current time on a clock that also runs while the host is suspended and that nobody
/// sets, unlike the time of day. Its times have no meaning on other hosts.
pub fn host_time() -> Timestamp {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let milliseconds = u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000_000;
    Timestamp::new(START_MS + seconds * 1_000 + milliseconds)
}
