//! When answers may go out over the link of a host.

use std::time::Duration;

use cicadagw_unit::rate::{Permille, Throughput};
use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::Span;

/// The share of the link that answers take together before large ones wait: in the queue of the link
/// short ones would wait behind them. The rest is for requests and the heads of packets.
const SHARE: Permille = Permille::new(930);

/// How much of an answer goes out without waiting for its turn: a short one is not to wait behind the
/// parts of large ones.
pub const UNPACED_MAX: Bytes = Bytes::new(16 << 10);

/// The link of a host. All times are since the start of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Link {
    bytes_per_second: u64,
    /// When all that was let out has gone.
    free: Duration,
}

/// The time on the link that an answer has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reservation {
    bytes_per_second: u64,
    /// When the next part may go out.
    next: Duration,
}

impl Link {
    /// Creates a link that carries `rate`.
    pub fn new(rate: Throughput) -> Self {
        Self {
            bytes_per_second: SHARE.of(rate.get()).max(1),
            free: Duration::ZERO,
        }
    }

    /// Returns how long the link is taken from `now` on.
    pub fn backlog(&self, now: Duration) -> Span {
        self.free.saturating_sub(now).into()
    }

    /// Takes the link for `length` bytes, after all that was let out before.
    pub fn reserve(&mut self, now: Duration, length: u64) -> Reservation {
        let next = self.free.max(now);
        self.free = next + span(length, self.bytes_per_second);
        Reservation {
            bytes_per_second: self.bytes_per_second,
            next,
        }
    }
}

impl Reservation {
    /// Returns when a part of `length` bytes may go out.
    pub fn schedule(&mut self, length: u64) -> Duration {
        let begin = self.next;
        self.next = begin + span(length, self.bytes_per_second);
        begin
    }
}

fn span(length: u64, bytes_per_second: u64) -> Duration {
    let nanoseconds = u128::from(length) * 1_000_000_000 / u128::from(bytes_per_second);
    Duration::from_nanos(u64::try_from(nanoseconds).unwrap_or(u64::MAX))
}
