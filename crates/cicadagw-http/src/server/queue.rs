//! The requests of a connection that wait for their answers.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use tokio::sync::Notify;

use super::Reply;
use crate::Task;

/// How many requests of one connection run at once; further ones wait to be read.
const PIPELINE_MAX: usize = 32;

/// The requests of a connection that are not answered yet, in their order.
#[derive(Default)]
pub(super) struct Queue {
    pub(super) pending: RefCell<VecDeque<Pending>>,
    /// Those in `pending`, and the one that is being answered.
    pub(super) open: Cell<usize>,
    /// Whether a client waits to be told that it may send its body.
    asks: Cell<bool>,
    pushed: Notify,
    popped: Notify,
}

/// What is written next.
pub(super) enum Next {
    /// That the client may send its body.
    Continue,
    /// The answer to a request.
    Answer(Box<Pending>),
}

/// A request that is not answered yet.
pub(super) struct Pending {
    pub(super) reply: Source,
    pub(super) is_head: bool,
    /// Whether the connection closes behind the answer.
    pub(super) closes: bool,
    /// Set once the rest of the request's body will not be read.
    pub(super) is_spoiled: Rc<Cell<bool>>,
}

/// Where an answer comes from.
pub(super) enum Source {
    Task(Task<Reply>),
    Ready(Box<Reply>),
}

impl Queue {
    pub(super) fn push(&self, pending: Pending) {
        self.open.set(self.open.get() + 1);
        self.pending.borrow_mut().push_back(pending);
        self.pushed.notify_one();
    }

    pub(super) fn ask_on(&self) {
        self.asks.set(true);
        self.pushed.notify_one();
    }

    pub(super) async fn pop(&self) -> Next {
        loop {
            if self.asks.take() {
                return Next::Continue;
            }
            if let Some(pending) = self.pending.borrow_mut().pop_front() {
                return Next::Answer(Box::new(pending));
            }
            self.pushed.notified().await;
        }
    }

    pub(super) fn finish(&self) {
        self.open.set(self.open.get() - 1);
        self.popped.notify_one();
    }

    pub(super) async fn room(&self) {
        while self.open.get() >= PIPELINE_MAX {
            self.popped.notified().await;
        }
    }
}
