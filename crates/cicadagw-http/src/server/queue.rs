//! The queue of a connection's requests that await their responses.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use tokio::sync::Notify;

use super::Reply;
use crate::Task;

/// The maximum number of pipelined requests of one connection that run concurrently; further
/// requests are not read until a response was written.
const PIPELINED_REQUESTS_MAX: usize = 32;

/// The requests of a connection that await their responses, in the order in which they were
/// received.
#[derive(Default)]
pub(super) struct Queue {
    pub(super) pending: RefCell<VecDeque<Pending>>,
    /// The number of requests in `pending`, plus the one whose response is being written, if any.
    pub(super) in_flight: Cell<usize>,
    /// Whether the connection closes after the response that is being written; requests behind it
    /// are not dispatched.
    is_closing: Cell<bool>,
    /// Whether the client waits for `100 Continue` before it sends its body.
    awaits_continue: Cell<bool>,
    pushed: Notify,
    finished: Notify,
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
}

/// Where the response comes from.
pub(super) enum Source {
    /// The request handler, which is still running.
    Task(Task<Reply>),
    /// The response to a refused request.
    Ready(Box<Reply>),
}

impl Queue {
    /// Appends a request.
    pub(super) fn push(&self, pending: Pending) {
        self.in_flight.set(self.in_flight.get() + 1);
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

    /// Marks the response of the last popped request as written.
    pub(super) fn finish(&self) {
        self.in_flight.set(self.in_flight.get() - 1);
        self.finished.notify_one();
    }

    /// Waits until no request is in flight.
    pub(super) async fn wait_until_idle(&self) {
        while self.in_flight.get() > 0 {
            self.finished.notified().await;
        }
    }

    /// Waits until fewer than [`PIPELINED_REQUESTS_MAX`] requests are in flight.
    pub(super) async fn wait_for_capacity(&self) {
        while self.in_flight.get() >= PIPELINED_REQUESTS_MAX {
            self.finished.notified().await;
        }
    }
}
