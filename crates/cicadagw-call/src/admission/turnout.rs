//! How many of the recent calls of each urgency got a slot, and how much of the backend server's
//! time they took.

use std::collections::BTreeMap;

use cicadagw_unit::time::{Span, Timestamp};

use super::queue::Urgency;

/// How often the counts are halved.
const HALVING: Span = Span::seconds(2);

/// The weight of one call, so that halving loses little.
const CALL: u64 = 1_000;

/// Calls are starved if the share of them that gets a slot is smaller than that of more urgent ones
/// by more than this factor.
const STARVED_FACTOR: u64 = 4;

/// The recent calls to one backend server, by urgency.
#[derive(Clone, Debug, Default)]
pub(super) struct Turnout {
    by_urgency: BTreeMap<Urgency, Count>,
    halved: Timestamp,
}

/// Recent calls of one urgency, halved with age.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    /// The calls that were offered, each counted as [`CALL`].
    offered: u64,
    /// The calls that got a slot, each counted as [`CALL`].
    started: u64,
    /// The average work time of the calls that got a slot, in thousandths of a millisecond.
    work: u64,
}

impl Turnout {
    /// Counts a call that is offered for the first time.
    pub(super) fn offer(&mut self, now: Timestamp, urgency: Urgency) {
        let halvings = now.since(self.halved).get() / HALVING.get();
        if halvings > 0 {
            self.halved = now;
            for count in self.by_urgency.values_mut() {
                count.halve(halvings);
            }
        }
        self.by_urgency.entry(urgency).or_default().offered += CALL;
    }

    /// Counts a call with the average work time `work` that gets a slot.
    pub(super) fn start(&mut self, urgency: Urgency, work: Span) {
        let count = self.by_urgency.entry(urgency).or_default();
        count.started += CALL;
        count.work += work.get() * CALL;
    }

    /// Returns the urgency with which a call is queued: its own, or that of the most urgent calls in
    /// comparison with which calls of its own urgency are starved. Brief calls are no such calls,
    /// because the work of others depends on them, and calls beyond the part of their client
    /// account have no claim to a slot.
    pub(super) fn effective(&self, own: Urgency) -> Urgency {
        let count = self.by_urgency.get(&own).copied().unwrap_or_default();
        let mut more_urgent = self.by_urgency.range(..own);
        let starving = more_urgent.find(|(urgency, other)| {
            urgency.is_long == own.is_long && !own.is_excess && count.is_starved_beside(**other)
        });
        starving.map_or(own, |(urgency, _)| *urgency)
    }

    /// Returns the share of the backend server's time, in thousandths, that calls of less urgency
    /// than `limit` and `limit` itself get.
    pub(super) fn permille_from(&self, limit: Urgency) -> u64 {
        let work = |counts: &mut dyn Iterator<Item = &Count>| counts.map(|count| count.work).sum();
        let all: u64 = work(&mut self.by_urgency.values());
        let rest: u64 = work(&mut self.by_urgency.range(limit..).map(|(_, count)| count));
        (rest.saturating_mul(1_000))
            .checked_div(all)
            .unwrap_or(1_000)
    }
}

impl Count {
    fn halve(&mut self, times: u64) {
        let times = times.min(u64::from(u64::BITS) - 1);
        self.offered >>= times;
        self.started >>= times;
        self.work >>= times;
    }

    /// Returns whether a much smaller share of these calls than of `other` gets a slot.
    fn is_starved_beside(self, other: Self) -> bool {
        // Cross-multiplied shares.
        let own = u128::from(self.started) * u128::from(other.offered);
        own * u128::from(STARVED_FACTOR) < u128::from(other.started) * u128::from(self.offered)
    }
}
