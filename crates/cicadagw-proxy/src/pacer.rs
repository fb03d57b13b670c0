//! Paces large responses to the throughput of the host's link.

use std::cell::Cell;
use std::rc::Rc;

use cicadagw_call::pacing::{Link, Reservation, UNPACED_MAX};
use cicadagw_unit::rate::Throughput;
use cicadagw_unit::time::Span;
use tokio::time::{Instant, sleep_until};

/// Schedules large responses on the link one after another, at the link's throughput.
#[derive(Debug)]
pub(crate) struct Pacer {
    /// The time from which the link's times are counted.
    epoch: Instant,
    link: Option<Cell<Link>>,
}

impl Pacer {
    /// Creates a pacer for a link of `rate`; without a rate nothing is paced.
    pub(crate) fn new(rate: Option<Throughput>) -> Self {
        Self {
            epoch: Instant::now(),
            link: rate.map(Link::new).map(Cell::new),
        }
    }

    /// Returns how long a large response would wait for the link now.
    pub(crate) fn backlog(&self) -> Span {
        let link = self.link.as_ref().map(Cell::get);
        link.map_or(Span::new(0), |link| link.backlog(self.epoch.elapsed()))
    }

    /// Reserves the link for `length` bytes; returns `None` if nothing is paced.
    pub(crate) fn reserve(&self, length: usize) -> Option<Reservation> {
        let cell = self.link.as_ref()?;
        let mut link = cell.get();
        let reservation = link.reserve(self.epoch.elapsed(), length as u64);
        cell.set(link);
        Some(reservation)
    }
}

/// The pacing state of one response.
pub(crate) struct Pace {
    pacer: Option<Rc<Pacer>>,
    /// The body length in bytes, if it is known.
    length: Option<usize>,
    /// The number of bytes sent, or about to be sent.
    sent: usize,
    reservation: Option<Reservation>,
}

impl Pace {
    pub(crate) const fn new(pacer: Option<Rc<Pacer>>, length: Option<usize>) -> Self {
        Self {
            pacer,
            length,
            sent: 0,
            reservation: None,
        }
    }

    /// Waits until a part of `length` bytes may be sent. The first bytes of a body, up to the size
    /// of a short response, are not delayed.
    pub(crate) async fn wait(&mut self, length: usize) {
        let rest = self.length.map(|total| total.saturating_sub(self.sent));
        self.sent += length;
        let Some(pacer) = &self.pacer else {
            return;
        };
        if self.sent as u64 <= UNPACED_MAX.get() {
            pacer.reserve(length);
            return;
        }
        // A body of unknown length reserves the link separately for each part.
        let is_used_up = self
            .reservation
            .is_none_or(|reservation| reservation.is_used_up());
        if is_used_up || rest.is_none() {
            self.reservation = pacer.reserve(rest.unwrap_or(length));
        }
        if let Some(reservation) = &mut self.reservation {
            let begin = pacer.epoch + reservation.schedule(length as u64);
            if begin > Instant::now() {
                sleep_until(begin).await;
            }
        }
    }
}
