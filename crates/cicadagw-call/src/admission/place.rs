//! What a waiting call may expect, and where it stands among others.

use cicadagw_unit::id;
use cicadagw_unit::rate::Priority;
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::{Span, Timestamp};

use super::verdict::Ticket;

/// How many calls of a policy one backend server may run and have waiting.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Constraints {
    /// The policy.
    pub policy: id::Policy,
    /// How many calls run at once.
    pub concurrency: Slots,
    /// How many calls wait.
    pub queue: Slots,
    /// The rank of the call: the less urgent, the sooner it is refused.
    pub priority: Priority,
    /// Until when an answer is worth most; as long as the deadline if there is none.
    pub soft_deadline: Option<Timestamp>,
    /// How long after its start an answer to such a call is worth most, as declared.
    pub target_latency: Option<Span>,
    /// How long a large answer would wait for the link of the host.
    pub link_backlog: Span,
}

/// A call that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    /// When it must start at the latest to be answered by its target.
    pub(super) latest: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) limit: Constraints,
}

impl Waiting {
    /// Tells whether the call, which waits at `key`, can no longer be answered by its target, and may
    /// wait for others.
    pub(super) fn is_late(&self, now: Timestamp, key: Key) -> bool {
        key.is_long && self.latest < now
    }

    /// Tells whether its target is so far past that the caller is better told.
    pub(super) fn is_hopeless(&self, now: Timestamp) -> bool {
        let target = self.limit.soft_deadline.unwrap_or(self.deadline);
        now.since(target) > self.deadline.since(now)
    }
}

/// Where a waiting call stands.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Key {
    /// Whether it is none of the brief calls, which are parts of calls that run elsewhere.
    pub(super) is_long: bool,
    /// By when it is to start.
    pub(super) due: Timestamp,
    pub(super) ticket: Ticket,
}
