//! The pace of large answers.

use std::cell::Cell;
use std::rc::Rc;

use cicadagw_call::pacing::{Link, Reservation, UNPACED_MAX};
use cicadagw_unit::rate::Throughput;
use cicadagw_unit::time::Span;
use tokio::time::{Instant, sleep_until};

/// Lets large answers out at the pace of the link, one after the other.
#[derive(Debug)]
pub(crate) struct Pacer {
    start: Instant,
    link: Option<Cell<Link>>,
}

impl Pacer {
    /// Creates a pacer for a link; without one it lets everything out at once.
    pub(crate) fn new(rate: Option<Throughput>) -> Self {
        Self {
            start: Instant::now(),
            link: rate.map(Link::new).map(Cell::new),
        }
    }

    /// Returns how long a large answer waits now.
    pub(crate) fn backlog(&self) -> Span {
        let link = self.link.as_ref().map(Cell::get);
        link.map_or(Span::new(0), |link| link.backlog(self.start.elapsed()))
    }

    /// Takes the link for `length` bytes.
    pub(crate) fn reserve(&self, length: usize) -> Option<Reservation> {
        let cell = self.link.as_ref()?;
        let mut link = cell.get();
        let turn = link.reserve(self.start.elapsed(), length as u64);
        cell.set(link);
        Some(turn)
    }
}

/// The pace of one answer.
pub(crate) struct Pace {
    pacer: Option<Rc<Pacer>>,
    /// How large the body is, where that is known.
    length: Option<usize>,
    passed: usize,
    turn: Option<Reservation>,
}

impl Pace {
    pub(crate) const fn new(pacer: Option<Rc<Pacer>>, length: Option<usize>) -> Self {
        Self {
            pacer,
            length,
            passed: 0,
            turn: None,
        }
    }

    /// Waits until a part of `length` bytes may go out; the beginning does not wait.
    pub(crate) async fn wait(&mut self, length: usize) {
        let rest = self.length.map(|whole| whole.saturating_sub(self.passed));
        self.passed += length;
        let Some(pacer) = &self.pacer else {
            return;
        };
        if self.passed as u64 <= UNPACED_MAX.get() {
            pacer.reserve(length);
            return;
        }
        // A body of a length that is not known takes its turn part by part.
        if self.turn.is_none() || rest.is_none() {
            self.turn = pacer.reserve(rest.unwrap_or(length));
        }
        if let Some(turn) = &mut self.turn {
            let begin = pacer.start + turn.schedule(length as u64);
            if begin > Instant::now() {
                sleep_until(begin).await;
            }
        }
    }
}
