//! The memory that the connections of a node hold, and what it allows.
//!
//! The load that this answers: many clients that send requests ahead and do not read the responses,
//! or that do not finish their uploads.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

/// The number of requests in flight behind another of their connection without a limit of its own.
const AHEAD_MAX: usize = 312;

/// The memory budget without a limit of its own, in bytes.
const BUDGET_BYTES: usize = 22 << 20;

/// The length up to which a body is buffered when memory is not ample, in bytes.
const SCARCE_BUFFER_BYTES: u64 = 16 << 10;

/// How much of the memory budget is held.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Level {
    /// Less than half: nothing is limited.
    Ample,
    /// Half or more: no request is read while another of its connection is unanswered, and bodies
    /// are streamed instead of buffered.
    Tight,
    /// Three quarters or more: connections that wait for their clients are closed.
    Scarce,
    /// All of it: new requests are refused.
    Full,
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ample => "ample",
            Self::Tight => "tight",
            Self::Scarce => "scarce",
            Self::Full => "full",
        })
    }
}

/// Counts the memory that all connections of a node hold.
#[derive(Debug)]
pub struct Ledger {
    /// The memory budget, in bytes.
    budget: usize,
    /// The memory that is held, in bytes.
    held: Cell<usize>,
    /// The maximum of `ahead` at which a further request is read ahead.
    ahead_max: usize,
    /// The number of requests in flight behind another of their connection.
    ahead: Cell<usize>,
    /// The number of connections that were closed or refused to make room.
    closed: Cell<u64>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new(BUDGET_BYTES, AHEAD_MAX)
    }
}

impl Ledger {
    /// Creates a ledger with a budget in bytes and a maximum number of requests that are read ahead,
    /// over all connections.
    pub const fn new(budget: usize, ahead_max: usize) -> Self {
        Self {
            budget,
            held: Cell::new(0),
            ahead_max,
            ahead: Cell::new(0),
            closed: Cell::new(0),
        }
    }

    /// Returns the memory that is held, in bytes.
    pub const fn held(&self) -> usize {
        self.held.get()
    }

    /// Returns the number of connections that were closed or refused to make room.
    pub const fn closed(&self) -> u64 {
        self.closed.get()
    }

    /// Returns how much of the budget is held.
    pub const fn level(&self) -> Level {
        let held = self.held.get();
        if held >= self.budget {
            Level::Full
        } else if held >= self.budget / 4 * 3 {
            Level::Scarce
        } else if held >= self.budget / 2 {
            Level::Tight
        } else {
            Level::Ample
        }
    }

    /// Returns whether a request may be read while another of its connection is unanswered.
    pub fn may_read_ahead(&self) -> bool {
        self.level() == Level::Ample && self.ahead.get() < self.ahead_max
    }

    /// Returns up to which length a body is buffered that is buffered up to `ample` bytes while
    /// memory is ample.
    pub fn buffer_max(&self, ample: u64) -> u64 {
        match self.level() {
            Level::Ample => ample,
            Level::Tight | Level::Scarce | Level::Full => ample.min(SCARCE_BUFFER_BYTES),
        }
    }

    /// Counts `bytes` as held until the returned value is dropped.
    pub fn hold(self: &Rc<Self>, bytes: usize) -> Held {
        let held = Held {
            ledger: self.clone(),
            bytes: 0,
        };
        held.with(bytes)
    }

    /// Counts a connection that was closed or refused to make room.
    pub(crate) fn count_closed(&self) {
        self.closed.set(self.closed.get() + 1);
    }

    /// Counts `number` requests as in flight behind another of their connection.
    pub(crate) fn add_ahead(&self, number: usize) {
        self.ahead.set(self.ahead.get() + number);
    }

    /// Undoes [`Ledger::add_ahead`].
    pub(crate) fn remove_ahead(&self, number: usize) {
        self.ahead.set(self.ahead.get().saturating_sub(number));
    }
}

/// Memory that is held until this is dropped.
#[derive(Debug)]
pub struct Held {
    ledger: Rc<Ledger>,
    bytes: usize,
}

impl Held {
    /// Sets the size of the memory, in bytes.
    pub fn set(&mut self, bytes: usize) {
        let others = self.ledger.held.get().saturating_sub(self.bytes);
        self.ledger.held.set(others + bytes);
        self.bytes = bytes;
    }

    fn with(mut self, bytes: usize) -> Self {
        self.set(bytes);
        self
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.set(0);
    }
}
