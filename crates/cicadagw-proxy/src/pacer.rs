//! The pace of large answers.

use std::cell::Cell;
use std::time::Duration;

use cicadagw_unit::rate::{Permille, Throughput};
use tokio::time::{Instant, sleep_until};

/// The share of the link that large answers take together: what is left is for short ones, which
/// would wait behind the large ones in the queue of the link.
const SHARE: Permille = Permille::new(850);

/// Lets large answers out at the pace of the link, a part of each in turn.
#[derive(Debug)]
pub(crate) struct Pacer {
    bytes_per_second: Option<u64>,
    /// When the link is free again.
    free: Cell<Instant>,
}

impl Pacer {
    /// Creates a pacer for a link; without one it lets everything out at once.
    pub(crate) fn new(link: Option<Throughput>) -> Self {
        Self {
            bytes_per_second: link.map(|link| SHARE.of(link.get()).max(1)),
            free: Cell::new(Instant::now()),
        }
    }

    /// Waits for the turn of a part of `length` bytes.
    pub(crate) async fn turn(&self, length: usize) {
        let Some(rate) = self.bytes_per_second else {
            return;
        };
        let now = Instant::now();
        let begin = self.free.get().max(now);
        let nanoseconds = length as u64 * 1_000_000_000 / rate;
        self.free.set(begin + Duration::from_nanos(nanoseconds));
        if begin > now {
            sleep_until(begin).await;
        }
    }
}
