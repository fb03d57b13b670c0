//! The running calls of one backend server.

use std::collections::BTreeMap;

use cicadagw_unit::id;
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::Span;

use super::queue::Constraints;
use super::work::Work;

/// The slots of one backend server and the calls that hold them.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) slots: Slots,
    /// How many calls are running.
    count: u32,
    by_policy: BTreeMap<id::Policy, u32>,
}

impl Running {
    pub(super) const fn new(slots: Slots) -> Self {
        Self {
            slots,
            count: 0,
            by_policy: BTreeMap::new(),
        }
    }

    pub(super) const fn count(&self) -> u32 {
        self.count
    }

    pub(super) fn start(&mut self, policy: id::Policy) {
        self.count += 1;
        *self.by_policy.entry(policy).or_default() += 1;
    }

    pub(super) fn end(&mut self, policy: &id::Policy) {
        self.count = self.count.saturating_sub(1);
        if let Some(count) = self.by_policy.get_mut(policy) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.by_policy.remove(policy);
            }
        }
    }

    /// Returns whether a slot of the backend server is free and the policy may run another call.
    pub(super) fn has_room(&self, constraints: &Constraints) -> bool {
        let of_policy = self.by_policy.get(&constraints.policy);
        self.count < self.slots.get()
            && of_policy.is_none_or(|count| *count < constraints.concurrency.get())
    }

    /// Returns the average work time over the policies of the running calls.
    pub(super) fn average_work(&self, work: &Work) -> Span {
        let all: u64 = self
            .by_policy
            .iter()
            .map(|(policy, count)| u64::from(*count) * work.of(policy).get())
            .sum();
        let average = all.checked_div(u64::from(self.count));
        average.map_or(work.overall(), Span::new)
    }
}
