//! The open connections of a listener.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::standing::{Candidate, Standing, victim_for_connection, victim_for_memory};
use crate::ledger::{Held, Ledger, Level};

/// The memory that is counted for a connection, in bytes.
const CONNECTION_BYTES: usize = 4 << 10;

/// The maximum number of connections that are closed at a time while memory is scarce.
const CLOSED_AT_A_TIME_MAX: usize = 16;

/// The open connections of a listener, and the bounds that they keep.
#[derive(Debug)]
pub struct Connections {
    ledger: Rc<Ledger>,
    max: usize,
    open: RefCell<BTreeMap<u64, Rc<Entry>>>,
    next: Cell<u64>,
}

/// An open connection.
#[derive(Debug)]
pub(super) struct Entry {
    /// Cancelled when the connection is closed to make room.
    pub(super) token: CancellationToken,
    pub(super) in_flight: Cell<usize>,
    /// What the reader waits for.
    reading: Cell<(Standing, Instant)>,
    /// Since when the client has not accepted a response, if it does not.
    blocked: Cell<Option<Instant>>,
    _held: Held,
}

/// Removes an open connection when it is dropped.
pub(super) struct Registration {
    pub(super) entry: Rc<Entry>,
    connections: Rc<Connections>,
    id: u64,
}

impl Default for Connections {
    fn default() -> Self {
        Self::new(usize::MAX, Rc::default())
    }
}

impl Connections {
    /// Creates an empty set of at most `max` connections, whose memory is counted in `ledger`.
    pub fn new(max: usize, ledger: Rc<Ledger>) -> Self {
        Self {
            ledger,
            max,
            open: RefCell::default(),
            next: Cell::new(0),
        }
    }

    /// Returns the ledger of the connections' memory.
    pub(super) const fn ledger(&self) -> &Rc<Ledger> {
        &self.ledger
    }

    /// Adds a connection; returns `None` if there is no room for it, and none can be made.
    pub(super) fn register(self: &Rc<Self>) -> Option<Registration> {
        if self.open.borrow().len() >= self.max && !self.close_one(victim_for_connection) {
            self.count_closed("refused a connection, since there are too many");
            return None;
        }
        let entry = Rc::new(Entry {
            token: CancellationToken::new(),
            in_flight: Cell::new(0),
            reading: Cell::new((Standing::Idle, Instant::now())),
            blocked: Cell::new(None),
            _held: self.ledger.hold(CONNECTION_BYTES),
        });
        let id = self.next.replace(self.next.get() + 1);
        self.open.borrow_mut().insert(id, entry.clone());
        Some(Registration {
            entry,
            connections: self.clone(),
            id,
        })
    }

    /// Closes stalled connections while memory is scarce, and returns whether a request may be
    /// accepted.
    pub(super) fn admit(&self) -> bool {
        if self.ledger.level() >= Level::Scarce {
            for _ in 0..CLOSED_AT_A_TIME_MAX {
                if !self.close_one(victim_for_memory) {
                    break;
                }
            }
        }
        self.ledger.level() < Level::Full
    }

    /// Closes the connection that `choose` selects, if there is one.
    fn close_one(&self, choose: fn(&[Candidate]) -> Option<usize>) -> bool {
        let now = Instant::now();
        let victim = {
            let open = self.open.borrow();
            let candidates: Vec<_> = open.values().map(|entry| entry.candidate(now)).collect();
            let index = choose(&candidates);
            index.and_then(|index| open.keys().nth(index).copied())
        };
        let Some(entry) = victim.and_then(|id| self.open.borrow_mut().remove(&id)) else {
            return false;
        };
        entry.token.cancel();
        self.count_closed("closed a connection to make room for others");
        true
    }

    /// Counts and logs a connection that is closed or refused.
    fn count_closed(&self, message: &'static str) {
        self.ledger.count_closed();
        let open = self.open.borrow().len();
        log::warn!(open, held_bytes = self.ledger.held(); "{message}");
    }
}

impl Entry {
    /// Records what the reader waits for from now on.
    pub(super) fn set_reading(&self, standing: Standing) {
        self.reading.set((standing, Instant::now()));
    }

    /// Records whether a part of a response is being written from now on.
    pub(super) fn set_writing(&self, is_writing: bool) {
        self.blocked.set(is_writing.then(Instant::now));
    }

    fn candidate(&self, now: Instant) -> Candidate {
        let in_flight = self.in_flight.get();
        let (reading, since) = self.reading.get();
        let (standing, since) = match self.blocked.get() {
            Some(since) => (Standing::Blocked, since),
            None if reading == Standing::Idle && in_flight > 0 => (Standing::Working, since),
            None => (reading, since),
        };
        Candidate {
            in_flight,
            standing,
            waited: now.saturating_duration_since(since),
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.id);
    }
}
