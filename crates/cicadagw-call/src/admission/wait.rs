//! How long a call may wait for a slot and for the network link.

use cicadagw_unit::time::{Span, Timestamp};

use super::queue::Constraints;
use crate::average::smooth;

/// The share of its slack that a call may spend in the queue, by priority, in thousandths. The
/// slack is the time until the soft deadline beyond the average work time of the policy. A limit on
/// the number of queued calls alone does not bound their wait, because work times differ tenfold
/// between policies. The last entry applies to all further priorities.
const WAIT_PERMILLE: [u64; 3] = [900, 700, 350];

/// The share of the slack that the waits in the queue and for the link may take together, in
/// thousandths.
const WAIT_AND_LINK_PERMILLE: u64 = 800;

/// How long a call may wait even if its soft deadline is close or past: about the time of one more
/// attempt at another node.
const WAIT_MIN: Span = Span::new(40);

/// Returns whether a call with the average work time `work` may wait for `wait` in the queue and
/// for `link` on the link.
pub(super) fn is_acceptable_wait(
    now: Timestamp,
    work: Span,
    wait: Span,
    link: Span,
    constraints: &Constraints,
) -> bool {
    let Some(soft_deadline) = constraints.soft_deadline else {
        return true;
    };
    let slack = slack(now, work, soft_deadline);
    let priority = usize::from(constraints.priority.get()).min(WAIT_PERMILLE.len() - 1);
    wait <= share(slack, WAIT_PERMILLE[priority]).max(WAIT_MIN)
        && wait.plus(link) <= share(slack, WAIT_AND_LINK_PERMILLE).max(WAIT_MIN)
}

/// Returns the slack: the time that is left until `soft_deadline` beyond the work time `work`.
pub(super) fn slack(now: Timestamp, work: Span, soft_deadline: Timestamp) -> Span {
    Span::new(soft_deadline.since(now).get().saturating_sub(work.get()))
}

/// Returns a share of `span`, in thousandths.
pub(super) fn share(span: Span, thousandths: u64) -> Span {
    Span::new(span.get().saturating_mul(thousandths) / 1_000)
}

/// Returns the moving average `old` updated with the sample `new`; the first sample is taken as it
/// is.
pub(super) fn updated_average(old: Span, new: Span) -> Span {
    match old.get() {
        0 => new,
        old => Span::new(smooth(old, new.get())),
    }
}
