//! What calls need: their work time, by policy, and the size of their responses.

use std::collections::BTreeMap;

use cicadagw_unit::id;
use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::Span;

use super::wait::{share, updated_average};
use crate::average::{RESPONSE_MAX, smooth};

/// The share of the average work time that must remain before the deadline for a call to start, in
/// thousandths. The work of a call that runs into its deadline is wasted. A call that cannot start
/// at once when it arrives is queued only if the whole average remains after the expected wait.
const WORK_LEFT_MIN_PERMILLE: u64 = 700;

/// The average response size of a policy above which its calls also count the wait for the network
/// link: smaller responses are sent without pacing.
const LARGE_RESPONSE: Bytes = crate::pacing::UNPACED_MAX;

/// The average work time and response size of the calls to one backend server. Work time is the
/// time that a call holds its slot.
#[derive(Clone, Debug, Default)]
pub(super) struct Work {
    /// The average work time of a call under any policy; zero before the first sample.
    overall: Span,
    /// The average work time of a call, by policy.
    by_policy: BTreeMap<id::Policy, Span>,
    /// The average response size in bytes, by policy.
    response_sizes: BTreeMap<id::Policy, u64>,
}

impl Work {
    /// Records that a call under `policy` held its slot for `elapsed`.
    pub(super) fn record(&mut self, policy: &id::Policy, elapsed: Span) {
        self.overall = updated_average(self.overall, elapsed);
        let work = self.by_policy.entry(policy.clone()).or_default();
        *work = updated_average(*work, elapsed);
    }

    /// Records the size of a response to a call under `policy`.
    pub(super) fn record_size(&mut self, policy: &id::Policy, size: Bytes) {
        let size = size.min(RESPONSE_MAX);
        let average = self
            .response_sizes
            .entry(policy.clone())
            .or_insert(size.get());
        *average = smooth(*average, size.get());
    }

    /// Returns the average work time of a call under any policy; zero before the first sample.
    pub(super) const fn overall(&self) -> Span {
        self.overall
    }

    /// Returns the average work time of a call under `policy`, or of all calls before the first
    /// sample under it.
    pub(super) fn of(&self, policy: &id::Policy) -> Span {
        self.by_policy.get(policy).copied().unwrap_or(self.overall)
    }

    /// Returns how much time must remain before the deadline for a call under `policy` to start;
    /// none before the first sample under it. The work of other policies says little of it, and a
    /// policy whose calls are refused for it would never get a sample.
    pub(super) fn left_min(&self, policy: &id::Policy) -> Span {
        let work = self.by_policy.get(policy).copied().unwrap_or_default();
        share(work, WORK_LEFT_MIN_PERMILLE)
    }

    /// Returns whether the responses under `policy` are so large that they wait for the link.
    pub(super) fn has_large_response(&self, policy: &id::Policy) -> bool {
        let size = self.response_sizes.get(policy);
        size.is_some_and(|size| *size > LARGE_RESPONSE.get())
    }
}
