//! The order in which queued calls start.

use cicadagw_unit::time::{Span, Timestamp};

use super::queue::{Constraints, Key, QueuedCall, Urgency};
use super::shares::Shares;
use super::wait::{share, slack};
use super::work::Work;

/// A call is brief if its target latency is shorter than the longest one by at least this factor.
/// Calls that are made while serving other calls have such target latencies. They go first, because
/// the calls that wait for them would fail otherwise.
const BRIEF_FACTOR: u64 = 4;

/// The share of the slack after which a call is due, at any priority, in thousandths.
const DUE_PERMILLE: u64 = 350;

/// The order of the calls to one backend server.
#[derive(Clone, Debug, Default)]
pub(super) struct Order {
    /// The longest target latency of any call so far; it never decreases, see [`BRIEF_FACTOR`].
    longest_latency: Span,
    shares: Shares,
}

impl Order {
    /// Returns the urgency of a call that arrives now.
    pub(super) fn urgency(&mut self, now: Timestamp, constraints: &Constraints) -> Urgency {
        self.longest_latency = self
            .longest_latency
            .max(constraints.target_latency.unwrap_or_default());
        Urgency {
            is_long: !self.is_brief(constraints),
            rank: (constraints.priority, constraints.policy_priority),
            is_excess: self.shares.count(now, constraints.account.as_ref()),
        }
    }

    /// Returns whether the call is brief, see [`BRIEF_FACTOR`].
    fn is_brief(&self, constraints: &Constraints) -> bool {
        let longest = self.longest_latency.get();
        constraints
            .target_latency
            .is_some_and(|latency| latency.times(BRIEF_FACTOR).get() <= longest)
    }
}

/// The shortest time by which the target of a call must have begun earlier for its caller to have
/// come back: longer than a call takes from its caller to the backend server's node.
const RETURN_MIN: Span = Span::new(70);

/// Returns whether the caller of a call that arrives now was refused before and has come back: then
/// the target counts from its first arrival.
pub(super) fn is_return(now: Timestamp, constraints: &Constraints) -> bool {
    let target = constraints.soft_deadline.zip(constraints.target_latency);
    target
        .is_some_and(|(soft_deadline, latency)| soft_deadline.since(now).plus(RETURN_MIN) < latency)
}

/// Returns when a call that arrives now is due to start. That is well before the latest possible
/// start: if all calls waited until they could barely meet their soft deadlines, those that then
/// take longer than the average would miss them.
pub(super) fn due(
    now: Timestamp,
    deadline: Timestamp,
    constraints: &Constraints,
    work: &Work,
) -> Timestamp {
    let work = work.of(&constraints.policy);
    let due =
        |soft_deadline: Timestamp| now.after(share(slack(now, work, soft_deadline), DUE_PERMILLE));
    constraints.soft_deadline.map_or(deadline, due)
}

/// Returns the latest start with which the call can meet its soft deadline; without one, its
/// deadline.
pub(super) fn latest_start(
    deadline: Timestamp,
    constraints: &Constraints,
    work: &Work,
) -> Timestamp {
    let work = work.left_min(&constraints.policy);
    constraints
        .soft_deadline
        .map_or(deadline, |soft_deadline| soft_deadline.before(work))
}

/// Returns whether `other`, queued under `other_key`, starts before the call under `key`. Late calls
/// start only before calls that are late themselves.
pub(super) fn is_ahead(
    now: Timestamp,
    (other_key, other): (Key, &QueuedCall),
    (key, call): (Key, &QueuedCall),
) -> bool {
    call.is_late(now, key) || (other_key < key && !other.is_late(now, other_key))
}
