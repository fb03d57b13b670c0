//! The queue of a connection's requests that await their responses.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use tokio::sync::Notify;

use super::Reply;
use super::connections::Entry;
use crate::ledger::Held;
use crate::{Ledger, Task};

/// The maximum number of pipelined requests of one connection that run concurrently; further
/// requests are not read until a response was written.
const PIPELINED_REQUESTS_MAX: usize = 32;

/// The requests of a connection that await their responses, in the order in which they were
/// received.
pub(super) struct Queue {
    pub(super) pending: RefCell<VecDeque<Pending>>,
    /// The number of requests in `pending`, plus the one whose response is being written, if any.
    pub(super) in_flight: Cell<usize>,
    /// Whether the connection closes after the response that is being written; requests behind it
    /// are not dispatched.
    is_closing: Cell<bool>,
    /// The number of consecutive refusals that were written last.
    refusals: Cell<u32>,
    /// Whether the client waits for `100 Continue` before it sends its body.
    awaits_continue: Cell<bool>,
    pushed: Notify,
    finished: Notify,
    ledger: Rc<Ledger>,
    pub(super) entry: Rc<Entry>,
}

/// What the writer sends next.
pub(super) enum Next {
    /// `100 Continue`.
    Continue,
    /// The response to this request.
    Response(Box<Pending>),
}

/// A request that awaits its response.
pub(super) struct Pending {
    pub(super) reply: Source,
    pub(super) is_head: bool,
    /// Whether the connection closes after the response.
    pub(super) closes_after: bool,
    /// Set when the rest of the request body will not be read, so that no further request can
    /// follow.
    pub(super) is_body_abandoned: Rc<Cell<bool>>,
    /// The memory that the request holds until its response is written.
    pub(super) held: Held,
}

/// Where the response comes from.
pub(super) enum Source {
    /// The request handler, which is still running.
    Task(Task<Reply>),
    /// The response to a refused request.
    Ready(Box<Reply>),
}

impl Queue {
    pub(super) fn new(ledger: Rc<Ledger>, entry: Rc<Entry>) -> Self {
        Self {
            pending: RefCell::default(),
            in_flight: Cell::new(0),
            is_closing: Cell::new(false),
            refusals: Cell::new(0),
            awaits_continue: Cell::new(false),
            pushed: Notify::new(),
            finished: Notify::new(),
            ledger,
            entry,
        }
    }

    /// Appends a request.
    pub(super) fn push(&self, pending: Pending) {
        self.set_in_flight(self.in_flight.get() + 1);
        self.pending.borrow_mut().push_back(pending);
        self.pushed.notify_one();
    }

    /// Marks the connection as one that closes after the response that is written next.
    pub(super) fn close(&self) {
        self.is_closing.set(true);
    }

    /// Returns whether the connection closes after the response that is being written.
    pub(super) const fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Makes the writer send `100 Continue` before the next response.
    pub(super) fn send_continue(&self) {
        self.awaits_continue.set(true);
        self.pushed.notify_one();
    }

    /// Waits for the next thing to send.
    pub(super) async fn pop(&self) -> Next {
        loop {
            if self.awaits_continue.take() {
                return Next::Continue;
            }
            if let Some(pending) = self.pending.borrow_mut().pop_front() {
                return Next::Response(Box::new(pending));
            }
            self.pushed.notified().await;
        }
    }

    /// Records the status of the response that is written next.
    pub(super) fn record_status(&self, status: u16) {
        let is_refusal = matches!(status, 429 | 503);
        let before = self.refusals.get();
        self.refusals.set(if is_refusal {
            before.saturating_add(1)
        } else {
            0
        });
    }

    /// Returns the number of consecutive refusals that were written last.
    pub(super) const fn refusals(&self) -> u32 {
        self.refusals.get()
    }

    /// Marks the response of the last popped request as written.
    pub(super) fn finish(&self) {
        self.set_in_flight(self.in_flight.get() - 1);
        self.finished.notify_one();
    }

    /// Waits until no request is in flight.
    pub(super) async fn wait_until_idle(&self) {
        while self.in_flight.get() > 0 {
            self.finished.notified().await;
        }
    }

    /// Waits until no request is in flight, or fewer than [`PIPELINED_REQUESTS_MAX`] are and the
    /// ledger allows to read ahead.
    pub(super) async fn wait_for_capacity(&self) {
        loop {
            let in_flight = self.in_flight.get();
            let may_read_ahead = in_flight < PIPELINED_REQUESTS_MAX && self.ledger.may_read_ahead();
            if in_flight == 0 || may_read_ahead {
                return;
            }
            self.finished.notified().await;
        }
    }

    /// Sets the number of requests in flight; all but the first count as read ahead.
    fn set_in_flight(&self, number: usize) {
        self.ledger
            .remove_ahead(self.in_flight.get().saturating_sub(1));
        self.ledger.add_ahead(number.saturating_sub(1));
        self.in_flight.set(number);
        self.entry.in_flight.set(number);
    }
}

impl Drop for Queue {
    fn drop(&mut self) {
        self.set_in_flight(0);
    }
}
