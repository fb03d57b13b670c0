//! How a node makes itself known at the platform, and learns who else is there.

use cicadagw_platform::Error;
use cicadagw_unit::time::{Span, Timestamp};
use rand::Rng;

use crate::source::jittered;

/// The first wait after a failure.
const BACK_OFF: Span = Span::new(200);

/// The longest wait after a failure.
const BACK_OFF_MAX: Span = Span::seconds(3);

/// How often the nodes are listed again, to find those whose news was lost.
const LIST_EVERY: Span = Span::seconds(20);

/// The wait between the registration and the first list, so that nodes that start together find each
/// other in it.
const LIST_FIRST: Span = Span::new(300);

/// How many lists are asked for soon after the start: one that may be old costs a tenth of another.
const LISTS_FIRST: u32 = 3;

/// The wait between these.
const LIST_AGAIN: Span = Span::new(700);

/// What is to be asked of the platform next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// Write what this node says of itself, creating the object if it is not there yet.
    Write {
        /// Whether the object is to be created.
        create: bool,
    },
    /// List the nodes; the list may be seconds old.
    List,
}

/// The registration of this node.
#[derive(Clone, Debug)]
pub(crate) struct Register {
    due: Timestamp,
    failures: u32,
    lists: u32,
    is_under_way: bool,
    is_written: bool,
    /// Whether the object is believed not to be there.
    create: bool,
}

impl Register {
    /// Creates a registration; `create` tells whether the object is believed not to be there.
    pub(crate) const fn new(create: bool) -> Self {
        Self {
            due: Timestamp::new(0),
            failures: 0,
            lists: 0,
            is_under_way: false,
            is_written: false,
            create,
        }
    }

    /// Returns what is due, if anything is.
    pub(crate) fn tick(&mut self, now: Timestamp) -> Option<Step> {
        if now < self.due || self.is_under_way {
            return None;
        }
        self.is_under_way = true;
        Some(if self.is_written {
            Step::List
        } else {
            Step::Write {
                create: self.create,
            }
        })
    }

    /// Takes the answer to a write; the list follows.
    pub(crate) fn written(
        &mut self,
        now: Timestamp,
        outcome: &Result<(), Error>,
        rng: &mut impl Rng,
    ) {
        self.is_under_way = false;
        match outcome {
            Ok(()) => {
                self.is_written = true;
                self.failures = 0;
                self.due = now.after(LIST_FIRST);
            }
            // The object is there although it was believed not to be, or the other way round.
            Err(Error::Conflict) if self.failures == 0 => {
                self.create = !self.create;
                self.failures += 1;
                self.due = now;
            }
            Err(error) => {
                if *error == Error::Conflict {
                    self.create = !self.create;
                }
                self.back_off(now, rng);
            }
        }
    }

    /// Takes the answer to a list; `others` are the other nodes known by then.
    pub(crate) fn listed(
        &mut self,
        now: Timestamp,
        is_answered: bool,
        others: usize,
        rng: &mut impl Rng,
    ) {
        self.is_under_way = false;
        if !is_answered {
            return self.back_off(now, rng);
        }
        self.failures = 0;
        self.lists += 1;
        // A first list may be older than the other nodes.
        let every = if others == 0 || self.lists < LISTS_FIRST {
            LIST_AGAIN
        } else {
            LIST_EVERY
        };
        self.due = now.after(jittered(every, rng));
    }

    fn back_off(&mut self, now: Timestamp, rng: &mut impl Rng) {
        let wait = BACK_OFF.times(1 << self.failures.min(8));
        self.failures += 1;
        self.due = now.after(jittered(wait.min(BACK_OFF_MAX), rng));
    }
}
