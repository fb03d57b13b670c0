//! Queued calls: their constraints and their order.

use cicadagw_unit::id;
use cicadagw_unit::rate::Priority;
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::{Span, Timestamp};

use super::decision::Ticket;

/// The constraints under which one backend server admits a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Constraints {
    /// The client account that makes the call, if it presents a key.
    pub account: Option<id::Account>,
    /// The policy of the call.
    pub policy: id::Policy,
    /// How many calls under the policy may run concurrently.
    pub concurrency: Slots,
    /// How many calls under the policy may be queued.
    pub queue: Slots,
    /// The priority of the call, which is that of the client account or else that of the policy. A
    /// less urgent call is shed after a shorter wait.
    pub priority: Priority,
    /// The priority of the policy, which decides between calls of equal priority.
    pub policy_priority: Priority,
    /// The time by which the response should arrive to be of full value; without one, the deadline
    /// takes its place.
    pub soft_deadline: Option<Timestamp>,
    /// The target latency that is declared for such calls.
    pub target_latency: Option<Span>,
    /// How long a large response would wait for the network link of the host.
    pub link_backlog: Span,
}

/// A queued call.
#[derive(Clone, Debug)]
pub(super) struct QueuedCall {
    /// The latest start with which the call can meet its soft deadline; without one, its deadline.
    pub(super) latest_start: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) constraints: Constraints,
    /// The urgency by which the call is counted, which may be less than that of its position.
    pub(super) urgency: Urgency,
}

impl QueuedCall {
    /// Returns whether the call, queued under `key`, can no longer meet its soft deadline, and so
    /// starts only after the calls that can. Brief calls are never late in this sense.
    pub(super) fn is_late(&self, now: Timestamp, key: Key) -> bool {
        key.urgency.is_long && self.latest_start < now
    }

    /// Returns whether the soft deadline has passed by more than the time that is left until the
    /// deadline, so that a refusal is of more use to the caller than a response in the remaining
    /// time.
    pub(super) fn is_overdue(&self, now: Timestamp) -> bool {
        let soft_deadline = self.constraints.soft_deadline.unwrap_or(self.deadline);
        now.since(soft_deadline) > self.deadline.since(now)
    }
}

/// How urgent a call is; the smallest value goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Urgency {
    /// Whether the call is not brief. Brief calls go first, because they are made while serving
    /// other calls, which wait for them.
    pub(super) is_long: bool,
    /// The priority of the call and that of its policy, or those of more urgent calls beside which
    /// it would be starved.
    pub(super) rank: (Priority, Priority),
    /// Whether the call is beyond the part of its client account, see `Shares`.
    pub(super) is_excess: bool,
}

/// The position of a queued call; the smallest key goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Key {
    pub(super) urgency: Urgency,
    /// The time by which the call should start.
    pub(super) due: Timestamp,
    pub(super) ticket: Ticket,
}
