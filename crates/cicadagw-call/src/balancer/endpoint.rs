//! One endpoint and what this node has observed of it.

use cicadagw_endpoint::Record;
use cicadagw_unit::rate::{Permille, Priority};
use cicadagw_unit::time::{Span, Timestamp};

use super::decay::DecayingAverage;
use crate::Load;

/// The number of locality tiers: the node itself, its failure domain, its region, other regions.
pub(super) const TIERS: usize = 4;

/// How long a reported load is used after it arrived.
const REPORT_AGE_MAX: Span = Span::new(1_000);

/// How long the pace of work in a report is used; it changes many times per second.
const PACE_AGE_MAX: Span = Span::new(400);

/// The range to which a stated pace is clamped, in thousandths; a backend server may state an odd
/// one.
const PACE_RANGE: std::ops::RangeInclusive<u64> = 250..=10_000;

/// How long a new endpoint takes to receive its full share of calls; backend servers need about
/// that long to warm up.
const SLOW_START: Span = Span::seconds(3);

/// The weight with which a new endpoint starts, in thousandths.
const SLOW_START_PERMILLE: u64 = 100;

/// How many consecutive failures eject an endpoint.
const CONSECUTIVE_FAILURES_MAX: u32 = 5;

/// How long the first ejection of an endpoint lasts.
const EJECTION_BASE: Span = Span::seconds(5);

/// The largest multiple of [`EJECTION_BASE`] to which repeated ejections grow.
const EJECTION_FACTOR_MAX: u64 = 6;

/// The longest time for which an endpoint is avoided because of its rate limit; the limit may have
/// ended meanwhile.
const LIMITED_MAX: Span = Span::seconds(1);

/// How long an endpoint is avoided after the first failure to reach it.
const UNREACHABLE_BACKOFF: Span = Span::new(500);

/// The longest time for which an unreachable endpoint is avoided.
const UNREACHABLE_BACKOFF_MAX: Span = Span::seconds(8);

/// The assumed work time of a call without samples, in microseconds.
const DEFAULT_WORK_US: u64 = 50_000;

/// The relative work time of an endpoint that is as fast as the others, in thousandths.
pub(super) const AVERAGE_RELATIVE_WORK: u64 = 1_000;

/// The half-life of an endpoint's failure rate, after which the endpoint is tried again.
const FAILURE_HALF_LIFE: Span = Span::seconds(1);

/// The half-life of an endpoint's deviation from the average work time.
const RELATIVE_WORK_HALF_LIFE: Span = Span::seconds(4);

/// The average work time and response size of the calls under one policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Profile {
    /// The work time at an endpoint of average speed, in microseconds.
    pub(super) work_us: u64,
    /// The response size, in bytes.
    pub(super) bytes: u64,
}

/// An endpoint and what this node has observed of it.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub(super) record: Record,
    /// When the endpoint was added; `None` if it was in the first update.
    added: Option<Timestamp>,
    /// How many calls of this node are in flight to the endpoint.
    pub(super) own_in_flight: u32,
    /// The last load report.
    pub(super) report: Option<Report>,
    /// Consecutive failures; one below [`CONSECUTIVE_FAILURES_MAX`] after an ejection.
    pub(super) failures: u32,
    /// Ejections since the last successful call, up to [`EJECTION_FACTOR_MAX`].
    pub(super) ejections: u64,
    pub(super) ejected_until: Timestamp,
    /// Until when the rate limit of the backend server refuses calls, and the most urgent priority
    /// that it refuses.
    pub(super) limited: Option<(Timestamp, Priority)>,
    /// The recent share of calls that failed, in thousandths.
    pub(super) failure_rate: DecayingAverage,
    /// The work time of a call relative to the other endpoints, in thousandths.
    pub(super) relative_work: DecayingAverage,
    /// How many consecutive attempts could not reach the endpoint.
    pub(super) unreachable: u64,
    pub(super) unreachable_until: Timestamp,
}

/// A load report from the endpoint's node.
#[derive(Clone, Copy, Debug)]
pub(super) struct Report {
    /// When the report arrived.
    pub(super) at: Timestamp,
    pub(super) load: Load,
    /// How many calls of this node were in flight to the endpoint at that time.
    pub(super) own_in_flight: u32,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            work_us: DEFAULT_WORK_US,
            bytes: 0,
        }
    }
}

impl Endpoint {
    pub(super) fn is_healthy(&self, now: Timestamp) -> bool {
        self.ejected_until <= now
    }

    pub(super) fn is_reachable(&self, now: Timestamp) -> bool {
        self.unreachable_until <= now
    }

    /// Returns how long the rate limit still refuses calls of `priority`; `None` if it does not.
    pub(super) fn limited_for(&self, now: Timestamp, priority: Priority) -> Option<Span> {
        let (until, refused) = self.limited?;
        (now < until && priority >= refused).then(|| until.since(now))
    }

    /// Records that the rate limit refused a call of `priority`, and allows one after `wait`.
    pub(super) fn record_limited(&mut self, now: Timestamp, wait: Span, priority: Priority) {
        let until = now.after(wait.min(LIMITED_MAX));
        let refused = match self.limited {
            Some((until, refused)) if now < until => refused.min(priority),
            _ => priority,
        };
        self.limited = Some((until, refused));
    }

    /// Counts a failure, and ejects the endpoint after [`CONSECUTIVE_FAILURES_MAX`] in a row.
    pub(super) fn record_failure(&mut self, now: Timestamp) {
        self.failures += 1;
        self.failure_rate.record(now, 1_000);
        if self.failures < CONSECUTIVE_FAILURES_MAX || !self.is_healthy(now) {
            return;
        }
        self.ejections = (self.ejections + 1).min(EJECTION_FACTOR_MAX);
        self.ejected_until = now.after(EJECTION_BASE.times(self.ejections));
        // After the ejection, a single further failure ejects the endpoint again.
        self.failures = CONSECUTIVE_FAILURES_MAX - 1;
        self.failure_rate = DecayingAverage::new(0, FAILURE_HALF_LIFE);
    }

    /// Avoids the endpoint for a time that doubles with every consecutive failure to reach it.
    pub(super) fn record_unreachable(&mut self, now: Timestamp) {
        let wait = UNREACHABLE_BACKOFF.times(1 << self.unreachable.min(8));
        self.unreachable += 1;
        self.unreachable_until = now.after(wait.min(UNREACHABLE_BACKOFF_MAX));
    }

    /// Returns the work time of a call relative to the other endpoints, in thousandths, at the pace
    /// that the last report states while it is recent.
    pub(super) fn relative_work_now(&self, now: Timestamp) -> u64 {
        self.relative_work.get(now) * self.pace(now) / AVERAGE_RELATIVE_WORK
    }

    /// Returns the pace that the last report states, in thousandths; without a recent one, the usual
    /// pace.
    pub(super) fn pace(&self, now: Timestamp) -> u64 {
        let recent = self
            .report
            .filter(|report| now.since(report.at) < PACE_AGE_MAX);
        let pace = recent.and_then(|report| report.load.pace);
        pace.map_or(AVERAGE_RELATIVE_WORK, stated_pace)
    }

    /// Returns whether a further call is expected to find a free slot. `utilization` is that of
    /// other endpoints.
    pub(super) fn expects_room(&self, now: Timestamp, utilization: u64) -> bool {
        self.load(now, utilization) + 1_000 <= self.capacity(now, DEFAULT_WORK_US)
    }

    /// Returns the estimated number of calls in flight at the endpoint, in thousandths of a call:
    /// the reported load, adjusted by the calls that this node has started or finished since.
    /// Without a recent report, the endpoint is assumed to be as busy as others are on average:
    /// if it counted as idle, calls would leave the region for it whenever all near endpoints are
    /// full.
    pub(super) fn load(&self, now: Timestamp, utilization: u64) -> u64 {
        let own = u64::from(self.own_in_flight) * 1_000;
        let recent = self
            .report
            .filter(|report| now.since(report.at) < REPORT_AGE_MAX);
        let Some(report) = recent else {
            return own.max(utilization * u64::from(self.record.slots.get()));
        };
        let in_flight = report.load.in_flight.get();
        let others = u64::from(in_flight.saturating_sub(report.own_in_flight)) * 1_000;
        others + own
    }

    /// Returns how many calls that take `work_us` the endpoint may run concurrently, in thousandths of
    /// a call; less than its slots during slow start. A backend server with a rate limit runs as many
    /// as arrive at that rate during the time of one call (Little's law).
    pub(super) fn capacity(&self, now: Timestamp, work_us: u64) -> u64 {
        let weight = self.added.map_or(1_000, |added| {
            let age = now.since(added).get().min(SLOW_START.get());
            SLOW_START_PERMILLE + (1_000 - SLOW_START_PERMILLE) * age / SLOW_START.get()
        });
        let by_slots = u64::from(self.record.slots.get().max(1)) * weight;
        let by_limit = self.record.limit.map_or(u64::MAX, |limit| {
            limit.milli().saturating_mul(work_us) / 1_000_000
        });
        by_slots.min(by_limit)
    }
}

/// Returns the pace that a report states, in thousandths.
fn stated_pace(pace: Permille) -> u64 {
    u64::from(pace.get()).clamp(*PACE_RANGE.start(), *PACE_RANGE.end())
}

/// Returns the endpoint of `record`, with the observations of it in `previous` if it is there.
pub(super) fn endpoint_for(
    previous: &mut [Endpoint],
    record: &Record,
    added: Option<Timestamp>,
) -> Endpoint {
    let kept = previous
        .binary_search_by(|endpoint| endpoint.record.endpoint.cmp(&record.endpoint))
        .ok()
        .map(|index| previous[index].clone());
    let mut endpoint = kept.unwrap_or_else(|| Endpoint {
        record: record.clone(),
        added,
        own_in_flight: 0,
        report: None,
        failures: 0,
        ejections: 0,
        ejected_until: Timestamp::default(),
        limited: None,
        failure_rate: DecayingAverage::new(0, FAILURE_HALF_LIFE),
        relative_work: DecayingAverage::new(AVERAGE_RELATIVE_WORK, RELATIVE_WORK_HALF_LIFE),
        unreachable: 0,
        unreachable_until: Timestamp::default(),
    });
    if endpoint.record.sequence != record.sequence {
        // A new record shows that the endpoint's node is reachable again.
        endpoint.unreachable_until = Timestamp::default();
    }
    endpoint.record = record.clone();
    endpoint
}
