//! Paces large responses to the throughput of the host's link.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use cicadagw_call::pacing::{Extent, Link, Transfer};
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

    /// Reserves the link for a short response of `length` bytes, which is not delayed.
    pub(crate) fn reserve(&self, length: usize) {
        self.update(|link, now| link.reserve(now, length as u64));
    }

    /// Returns when the next `length` bytes of a transfer may be sent; `None` if nothing is paced.
    fn schedule(&self, transfer: &mut Transfer, length: usize) -> Option<Instant> {
        let begin = self.update(|link, now| transfer.schedule(link, now, length as u64));
        begin.map(|begin| self.epoch + begin)
    }

    fn end(&self, transfer: &mut Transfer) {
        self.update(|link, now| transfer.end(link, now));
    }

    /// Changes the state of the link, if there is one.
    fn update<T>(&self, change: impl FnOnce(&mut Link, Duration) -> T) -> Option<T> {
        let cell = self.link.as_ref()?;
        let mut link = cell.get();
        let result = change(&mut link, self.epoch.elapsed());
        cell.set(link);
        Some(result)
    }
}

/// The pacing state of one response. Dropping it gives back the link time that is not used.
pub(crate) struct Pace {
    pacer: Option<Rc<Pacer>>,
    transfer: Transfer,
}

impl Pace {
    pub(crate) const fn new(pacer: Option<Rc<Pacer>>, extent: Extent) -> Self {
        Self {
            pacer,
            transfer: Transfer::new(extent),
        }
    }

    /// Waits until a part of `length` bytes may be sent.
    pub(crate) async fn wait(&mut self, length: usize) {
        let transfer = &mut self.transfer;
        let Some(begin) = self
            .pacer
            .as_ref()
            .and_then(|pacer| pacer.schedule(transfer, length))
        else {
            return;
        };
        if begin > Instant::now() {
            sleep_until(begin).await;
        }
    }
}

impl Drop for Pace {
    fn drop(&mut self) {
        if let Some(pacer) = &self.pacer {
            pacer.end(&mut self.transfer);
        }
    }
}
