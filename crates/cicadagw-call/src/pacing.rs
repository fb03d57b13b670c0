//! Pacing of large responses over the network link of a host.

use std::time::Duration;

use cicadagw_unit::rate::{Permille, Throughput};
use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::Span;

/// The share of the link rate that responses may take together before large ones wait. If they
/// filled the link, short responses would queue behind them in the link's own buffer. The rest is
/// for requests and packet headers.
const PACED_SHARE: Permille = Permille::new(930);

/// How much of each response is sent without pacing, so that a short response does not wait behind
/// the chunks of large ones.
pub const UNPACED_MAX: Bytes = Bytes::new(16 << 10);

/// The network link of a host. All times are relative to the start of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Link {
    /// The rate at which responses are paced.
    bytes_per_second: u64,
    /// When everything reserved so far has been transmitted.
    free_at: Duration,
}

/// A reservation of link time for one response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reservation {
    /// The rate at which the response is paced.
    bytes_per_second: u64,
    /// When the next chunk may be sent.
    next_at: Duration,
}

impl Link {
    /// Creates a link with the transmission rate `rate`.
    pub fn new(rate: Throughput) -> Self {
        Self {
            bytes_per_second: PACED_SHARE.of(rate.get()).max(1),
            free_at: Duration::ZERO,
        }
    }

    /// Returns how long the link is reserved from `now` on.
    pub fn backlog(&self, now: Duration) -> Span {
        self.free_at.saturating_sub(now).into()
    }

    /// Reserves link time for `length` bytes, after everything reserved before.
    pub fn reserve(&mut self, now: Duration, length: u64) -> Reservation {
        let next_at = self.free_at.max(now);
        self.free_at = next_at + transmission_time(length, self.bytes_per_second);
        Reservation {
            bytes_per_second: self.bytes_per_second,
            next_at,
        }
    }
}

impl Reservation {
    /// Returns when the next chunk, of `length` bytes, may be sent.
    pub fn schedule(&mut self, length: u64) -> Duration {
        let begin = self.next_at;
        self.next_at = begin + transmission_time(length, self.bytes_per_second);
        begin
    }
}

fn transmission_time(length: u64, bytes_per_second: u64) -> Duration {
    let nanoseconds = u128::from(length) * 1_000_000_000 / u128::from(bytes_per_second);
    Duration::from_nanos(u64::try_from(nanoseconds).unwrap_or(u64::MAX))
}
