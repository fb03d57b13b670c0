//! Calls that were refused, and come back.

use std::collections::VecDeque;

use cicadagw_unit::time::{Span, Timestamp};

/// When the caller of a refused call may come back: after about as long as a call takes there is a
/// place.
pub const RETRY_AFTER: Span = Span::new(200);

/// How many refused calls are remembered: a few seconds of them at a crowded node.
const REMEMBERED: usize = 2_048;

/// By how much the deadlines of a call and of the same call come back may differ: what a request takes
/// on its way.
const DEADLINE_SLACK: Span = Span::new(60);

/// The calls that were refused lately.
#[derive(Clone, Debug, Default)]
pub struct History {
    refused: VecDeque<Refused>,
}

/// A call that was refused.
#[derive(Clone, Copy, Debug)]
struct Refused {
    /// A digest of what was asked for.
    digest: u64,
    /// Until when its caller waits.
    deadline: Timestamp,
    /// When its caller asked first.
    first: Timestamp,
}

impl History {
    /// Takes note that a call of `digest`, which its caller made first at `first` and waits for until
    /// `deadline`, was refused.
    pub fn record(&mut self, digest: u64, deadline: Timestamp, first: Timestamp) {
        if self.refused.len() == REMEMBERED {
            self.refused.pop_front();
        }
        self.refused.push_back(Refused {
            digest,
            deadline,
            first,
        });
    }

    /// Returns when the caller of a call that arrives now made it first, if it was refused before: one
    /// that asks for the same and has the same deadline.
    pub fn take(&mut self, now: Timestamp, digest: u64, deadline: Timestamp) -> Option<Timestamp> {
        while self.refused.front().is_some_and(|held| held.deadline < now) {
            self.refused.pop_front();
        }
        let is_same = |held: &Refused| {
            let apart = held
                .deadline
                .since(deadline)
                .max(deadline.since(held.deadline));
            held.digest == digest && apart <= DEADLINE_SLACK
        };
        let index = self.refused.iter().position(is_same)?;
        self.refused.remove(index).map(|held| held.first)
    }
}
