//! Counts of the calls to local backend servers while a rollout of their service goes on.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use cicadagw_ring::Sender;
use cicadagw_rollout::{Report, Tally};
use cicadagw_unit::id;
use cicadagw_unit::time::Span;

/// Counts calls, and sends the counts to the duty that takes them to the leader of the rollout.
pub(crate) struct Reporter {
    counts: RefCell<BTreeMap<id::Endpoint, Counts>>,
    ring: Option<Sender<Report>>,
    /// How often reports were due.
    turns: Cell<u32>,
}

/// The counts of one backend server.
#[derive(Clone, Default)]
struct Counts {
    /// Identifies the rollout.
    started_ms: u64,
    policies: BTreeMap<id::Policy, Tally>,
    total: Tally,
}

/// A call whose end is counted.
pub(crate) struct Observation<'r> {
    pub(crate) reporter: &'r Reporter,
    pub(crate) endpoint: id::Endpoint,
    pub(crate) policy: id::Policy,
    /// Identifies the rollout.
    pub(crate) started_ms: u64,
    /// Whether the backend server has warmed up.
    pub(crate) is_warm: bool,
}

impl Reporter {
    pub(crate) fn new(ring: Option<Sender<Report>>) -> Self {
        Self {
            counts: RefCell::default(),
            ring,
            turns: Cell::new(0),
        }
    }

    /// Begins the next time that reports may be due; returns whether it is one of `count`.
    pub(crate) fn next_turn(&self, count: u32) -> bool {
        self.turns.set(self.turns.get().wrapping_add(1));
        self.turns.get().is_multiple_of(count)
    }

    /// Changes the counts of a call; those of another rollout are dropped.
    fn count(&self, observation: &Observation<'_>, change: impl Fn(&mut Tally)) {
        let mut counts = self.counts.borrow_mut();
        let counts = counts.entry(observation.endpoint.clone()).or_default();
        if counts.started_ms != observation.started_ms {
            *counts = Counts {
                started_ms: observation.started_ms,
                ..Counts::default()
            };
        }
        change(&mut counts.total);
        let policy = observation.policy.clone();
        change(counts.policies.entry(policy).or_default());
    }

    /// Sends a report with the counts of its endpoint.
    pub(crate) fn send(&self, mut report: Report) {
        let counts = self.counts.borrow();
        let counts = counts.get(&report.endpoint);
        if let Some(counts) = counts.filter(|counts| counts.started_ms == report.started_ms) {
            report.total = counts.total;
            let policies = counts.policies.iter();
            report.policies = policies
                .map(|(policy, tally)| (policy.clone(), *tally))
                .collect();
            report.shorten();
        }
        if let Some(ring) = &self.ring {
            // The counts of a report that is dropped are in the next one.
            ring.try_send(report).ok();
        }
    }

    /// Drops the counts of endpoints without a rollout.
    pub(crate) fn retain(&self, is_observed: impl Fn(&id::Endpoint) -> bool) {
        let mut counts = self.counts.borrow_mut();
        counts.retain(|endpoint, _| is_observed(endpoint));
    }
}

impl Observation<'_> {
    /// Counts the call as sent.
    pub(crate) fn begin(self) -> Self {
        self.reporter.count(&self, Tally::send);
        self
    }

    /// Counts an answer that took `work`.
    pub(crate) fn answer(self, work: Span) {
        let work = self.is_warm.then_some(work);
        self.reporter.count(&self, |tally| tally.answer(work));
    }

    /// Counts a failure.
    pub(crate) fn fail(self) {
        self.reporter.count(&self, Tally::fail);
    }
}
