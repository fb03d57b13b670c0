//! One endpoint, and what a call costs there.

use cicadagw_endpoint::Record;
use cicadagw_unit::time::{Span, Timestamp};

use super::fading::Fading;
use crate::Load;

/// How many tiers of distance there are: own host, own failure domain, own region, elsewhere.
pub(super) const TIERS: usize = 4;

/// How long a reported load is believed.
const REPORT_AGE: Span = Span::new(1_000);

/// How long a new endpoint takes to get its whole share; backend servers are cold for about as long.
const SLOW_START: Span = Span::seconds(3);

/// The share that a new endpoint begins with, in thousandths.
const FIRST_WEIGHT: u64 = 100;

/// How many failures in a row put an endpoint out.
const FAILURES_MAX: u32 = 5;

/// How long an endpoint is put out for the first time.
const EJECTION: Span = Span::seconds(5);

/// How often the time for which an endpoint is put out grows.
const EJECTION_GROWTH_MAX: u64 = 6;

/// How long an endpoint that could not be reached is left alone for the first time.
const UNREACHABLE: Span = Span::new(500);

/// The longest time for which an endpoint that cannot be reached is left alone.
const UNREACHABLE_MAX: Span = Span::seconds(8);

/// The time on the way to an endpoint of each tier and back, in microseconds: typical round trips
/// between hosts, failure domains and regions.
const ROUND_TRIP_US: [u64; TIERS] = [0, 500, 1_500, 62_000];

/// What a KiB of an answer costs on its way from each tier, expressed in microseconds of delay:
/// links between failure domains are billed, those between regions are billed four times as high.
const KIB_US: [u64; TIERS] = [0, 0, 1_500, 10_000];

/// How much a full endpoint adds to a call by its load alone, in microseconds. It grows with the
/// square of the load, as backend servers slow down when they are nearly full.
const BUSY_US: u64 = 20_000;

/// What it costs to wait for a place at all, in microseconds: the estimate may be wrong.
const FULL_US: u64 = 100_000;

/// What a failure costs: as much as the retry that follows it, in microseconds.
const FAILURE_US: u64 = 500_000;

/// The work of a call of which nothing is known yet, in microseconds.
const WORK_US: u64 = 50_000;

/// The pace of an endpoint that is as fast as the others, in thousandths of their time.
pub(super) const EVEN_PACE: u64 = 1_000;

/// After which time half of the failures of an endpoint are forgotten, so that it is tried again.
const FAILURE_HALF_LIFE: Span = Span::seconds(1);

/// After which time half of what an endpoint was slower or faster than others is forgotten.
const PACE_HALF_LIFE: Span = Span::seconds(4);

/// What the calls under one policy are like.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Kind {
    /// How long one takes at an endpoint of even pace, in microseconds.
    pub(super) work_us: u64,
    /// How large its answer is, in bytes.
    pub(super) bytes: u64,
}

/// One endpoint and what this node saw of it.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) record: Record,
    /// When it appeared; none for those that were there from the first.
    since: Option<Timestamp>,
    /// Calls of this node.
    pub(super) own: u32,
    pub(super) report: Option<Report>,
    pub(super) failures: u32,
    pub(super) ejections: u64,
    pub(super) ejected_until: Timestamp,
    /// The share of calls that fail lately, in thousandths.
    pub(super) failing: Fading,
    /// How long it takes for a call, in thousandths of what the others take.
    pub(super) pace: Fading,
    /// How often in a row it could not be reached.
    pub(super) unreachable: u64,
    pub(super) unreachable_until: Timestamp,
}

/// A reported load.
#[derive(Clone, Copy, Debug)]
pub(super) struct Report {
    pub(super) at: Timestamp,
    pub(super) load: Load,
    /// The calls of this node then.
    pub(super) own: u32,
}

impl Default for Kind {
    fn default() -> Self {
        Self {
            work_us: WORK_US,
            bytes: 0,
        }
    }
}

impl Member {
    pub(super) fn is_healthy(&self, now: Timestamp) -> bool {
        self.ejected_until <= now
    }

    pub(super) fn is_reachable(&self, now: Timestamp) -> bool {
        self.unreachable_until <= now
    }

    pub(super) fn fail(&mut self, now: Timestamp) {
        self.failures += 1;
        self.failing.learn(now, 1_000);
        if self.failures < FAILURES_MAX || !self.is_healthy(now) {
            return;
        }
        self.ejections = (self.ejections + 1).min(EJECTION_GROWTH_MAX);
        self.ejected_until = now.after(EJECTION.times(self.ejections));
        // One more failure after its return is enough.
        self.failures = FAILURES_MAX - 1;
        self.failing = Fading::new(0, FAILURE_HALF_LIFE);
    }

    /// Leaves it alone for a time that doubles with every miss.
    pub(super) fn miss(&mut self, now: Timestamp) {
        let wait = UNREACHABLE.times(1 << self.unreachable.min(8));
        self.unreachable += 1;
        self.unreachable_until = now.after(wait.min(UNREACHABLE_MAX));
    }

    /// Returns what a call of `kind` costs here, in microseconds of delay.
    ///
    /// Its failures count only where `is_wary`.
    pub(super) fn cost(&self, now: Timestamp, tier: usize, kind: Kind, is_wary: bool) -> u64 {
        let work = kind.work_us * self.pace.get(now) / EVEN_PACE;
        let load = (self.load(now) + 1) * 1_000;
        let capacity = self.capacity(now).max(1);
        let busy = BUSY_US * load.min(capacity) / capacity * load.min(capacity) / capacity;
        let wait = match load.checked_sub(capacity) {
            None | Some(0) => 0,
            Some(excess) => FULL_US + work * excess / capacity,
        };
        let transfer = kind.bytes * KIB_US[tier] / 1_024;
        let failing = if is_wary { self.failing.get(now) } else { 0 };
        let failures = failing * FAILURE_US / 1_000;
        ROUND_TRIP_US[tier] + transfer + work + busy + wait + failures
    }

    /// Returns how many calls it runs, as far as is known: what was reported, with what this node
    /// sends since.
    fn load(&self, now: Timestamp) -> u64 {
        let reported = self
            .report
            .filter(|report| now.since(report.at) < REPORT_AGE)
            .map_or(0, |report| {
                let others = report.load.in_flight.get().saturating_sub(report.own);
                others.saturating_add(self.own)
            });
        u64::from(reported.max(self.own))
    }

    /// Returns how many calls it may run, in thousandths.
    fn capacity(&self, now: Timestamp) -> u64 {
        let weight = self.since.map_or(1_000, |since| {
            let age = now.since(since).get().min(SLOW_START.get());
            FIRST_WEIGHT + (1_000 - FIRST_WEIGHT) * age / SLOW_START.get()
        });
        u64::from(self.record.slots.get().max(1)) * weight
    }
}

/// Returns the member for `record`, with what is known of it.
pub(super) fn renew(known: &mut [Member], record: &Record, since: Option<Timestamp>) -> Member {
    let kept = known
        .binary_search_by(|member| member.record.endpoint.cmp(&record.endpoint))
        .ok()
        .map(|index| known[index].clone());
    let mut member = kept.unwrap_or_else(|| Member {
        record: record.clone(),
        since,
        own: 0,
        report: None,
        failures: 0,
        ejections: 0,
        ejected_until: Timestamp::default(),
        failing: Fading::new(0, FAILURE_HALF_LIFE),
        pace: Fading::new(EVEN_PACE, PACE_HALF_LIFE),
        unreachable: 0,
        unreachable_until: Timestamp::default(),
    });
    if member.record.sequence != record.sequence {
        // Its node was heard of meanwhile.
        member.unreachable_until = Timestamp::default();
    }
    member.record = record.clone();
    member
}
