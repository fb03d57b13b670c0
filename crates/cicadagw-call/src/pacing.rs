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

/// How much of a response reserves the link at once. The length that a response states may be odd,
/// and its rest may never arrive, so it must not hold up the others for long.
pub const RESERVED_MAX: Bytes = Bytes::new(1 << 20);

/// The network link of a host. All times are relative to the start of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Link {
    /// The rate at which responses are paced.
    bytes_per_second: u64,
    /// When everything reserved so far has been transmitted.
    free_at: Duration,
}

/// What is known of the length of a response body, in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Extent {
    /// The body has this length.
    Exactly(u64),
    /// The body has this length or a larger one.
    AtLeast(u64),
}

/// The transfer of one response body over the link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Transfer {
    extent: Extent,
    /// The number of bytes sent, or about to be sent.
    sent: u64,
    reservation: Option<Reservation>,
}

/// A reservation of link time for one response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reservation {
    /// The rate at which the response is paced.
    bytes_per_second: u64,
    /// When the next chunk may be sent.
    next_at: Duration,
    /// How many bytes of the reservation are left.
    left: u64,
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

    /// Reserves link time for `length` bytes, but at most [`RESERVED_MAX`], after everything
    /// reserved before.
    pub fn reserve(&mut self, now: Duration, length: u64) -> Reservation {
        let length = length.min(RESERVED_MAX.get());
        let next_at = self.free_at.max(now);
        self.free_at = next_at + transmission_time(length, self.bytes_per_second);
        Reservation {
            bytes_per_second: self.bytes_per_second,
            next_at,
            left: length,
        }
    }

    /// Gives back the link time for `length` bytes that were reserved.
    fn give_back(&mut self, now: Duration, length: u64) {
        let unused = transmission_time(length, self.bytes_per_second);
        self.free_at = self
            .free_at
            .saturating_sub(unused)
            .max(now.min(self.free_at));
    }
}

impl Transfer {
    /// Creates the transfer of a body of `extent`.
    pub const fn new(extent: Extent) -> Self {
        Self {
            extent,
            sent: 0,
            reservation: None,
        }
    }

    /// Returns when the next part of the body, of `length` bytes, may be sent. The first bytes, up to
    /// [`UNPACED_MAX`], are not delayed.
    ///
    /// The rest waits for the link once for each reservation, behind everything reserved before, and
    /// not once for each part.
    pub fn schedule(&mut self, link: &mut Link, now: Duration, length: u64) -> Duration {
        let sent = self.sent;
        self.sent += length;
        if self.sent <= UNPACED_MAX.get() {
            link.reserve(now, length);
            return now;
        }
        let current = self.reservation.filter(|current| !current.is_used_up());
        let expected = || expected_rest(self.extent, sent).max(length);
        let mut reservation = current.unwrap_or_else(|| link.reserve(now, expected()));
        let begin = reservation.schedule(length);
        self.reservation = Some(reservation);
        begin
    }

    /// Ends the transfer, and gives back the link time that it has reserved and not used.
    pub fn end(&mut self, link: &mut Link, now: Duration) {
        if let Some(reservation) = self.reservation.take() {
            link.give_back(now, reservation.left);
        }
    }
}

/// Returns how much of a body of `extent` is expected to follow the first `sent` bytes: of a longer
/// body than is known, a quarter of what has been sent.
fn expected_rest(extent: Extent, sent: u64) -> u64 {
    match extent {
        Extent::Exactly(length) => length.saturating_sub(sent),
        Extent::AtLeast(length) => length.saturating_sub(sent).max(sent / 4),
    }
}

impl Reservation {
    /// Returns when the next chunk, of `length` bytes, may be sent.
    pub fn schedule(&mut self, length: u64) -> Duration {
        let begin = self.next_at;
        self.next_at = begin + transmission_time(length, self.bytes_per_second);
        self.left = self.left.saturating_sub(length);
        begin
    }

    /// Returns whether nothing of the reservation is left.
    pub const fn is_used_up(&self) -> bool {
        self.left == 0
    }
}

fn transmission_time(length: u64, bytes_per_second: u64) -> Duration {
    let nanoseconds = u128::from(length) * 1_000_000_000 / u128::from(bytes_per_second);
    Duration::from_nanos(u64::try_from(nanoseconds).unwrap_or(u64::MAX))
}
