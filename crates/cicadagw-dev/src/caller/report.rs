//! What became of all calls.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use hdrhistogram::Histogram;

use super::Outcome;

/// How many decimal digits of a latency are kept.
const DIGITS: u8 = 3;

/// What became of all calls.
#[derive(Clone, Debug)]
pub struct Report {
    answered: u64,
    /// The calls that were not answered, by what became of them.
    others: BTreeMap<Outcome, Vec<CompactString>>,
    /// How often nodes gave each reason.
    reasons: BTreeMap<CompactString, u64>,
    /// Latencies of answered calls, in microseconds.
    latencies: Histogram<u64>,
    /// By how much calls were sent later than they were due, in microseconds.
    lags: Histogram<u64>,
}

/// Latencies, in microseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Latency {
    /// Half of the calls took at most this.
    pub p50_us: u64,
    /// 99 of 100 calls took at most this.
    pub p99_us: u64,
    /// 999 of 1,000 calls took at most this.
    pub p999_us: u64,
    /// The longest.
    pub max_us: u64,
}

/// What became of one call.
pub(crate) struct Done {
    pub(crate) request: CompactString,
    pub(crate) verdict: Outcome,
    /// Why a node did not answer, when it said so.
    pub(crate) reason: Option<CompactString>,
    pub(crate) latency: Duration,
    pub(crate) lag: Duration,
}

impl Default for Report {
    fn default() -> Self {
        let histogram = || Histogram::new(DIGITS).expect("the number of digits is allowed");
        Self {
            answered: 0,
            others: BTreeMap::new(),
            reasons: BTreeMap::new(),
            latencies: histogram(),
            lags: histogram(),
        }
    }
}

impl Report {
    /// Returns how many calls ended with `verdict`.
    pub fn count(&self, verdict: Outcome) -> u64 {
        match verdict {
            Outcome::Answered => self.answered,
            other => self.requests(other).len() as u64,
        }
    }

    /// Returns how many calls were made.
    pub fn total(&self) -> u64 {
        let others: usize = self.others.values().map(Vec::len).sum();
        self.answered + others as u64
    }

    /// Returns the requests that ended with `verdict`, which is not [`Outcome::Answered`].
    pub fn requests(&self, verdict: Outcome) -> &[CompactString] {
        self.others.get(&verdict).map_or(&[], Vec::as_slice)
    }

    /// Returns how often nodes gave each reason for not answering.
    pub const fn reasons(&self) -> &BTreeMap<CompactString, u64> {
        &self.reasons
    }

    /// Returns the latency of answered calls, from the sending on.
    pub fn latency(&self) -> Latency {
        Latency::of(&self.latencies)
    }

    /// Returns by how much calls were sent later than they were due.
    pub fn lag(&self) -> Latency {
        Latency::of(&self.lags)
    }

    /// Adds the calls of `other`.
    pub fn merge(&mut self, other: Self) {
        self.answered += other.answered;
        for (verdict, requests) in other.others {
            self.others.entry(verdict).or_default().extend(requests);
        }
        for (reason, count) in other.reasons {
            *self.reasons.entry(reason).or_default() += count;
        }
        self.latencies += other.latencies;
        self.lags += other.lags;
    }

    pub(crate) fn count_done(&mut self, done: Done) {
        record(&mut self.lags, done.lag);
        if let Some(reason) = done.reason {
            *self.reasons.entry(reason).or_default() += 1;
        }
        if done.verdict == Outcome::Answered {
            self.answered += 1;
            record(&mut self.latencies, done.latency);
        } else {
            let requests = self.others.entry(done.verdict).or_default();
            requests.push(done.request);
        }
    }
}

impl Latency {
    fn of(histogram: &Histogram<u64>) -> Self {
        Self {
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}

/// Counts `duration`; one that cannot be told in microseconds counts as none.
fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    let micros = u64::try_from(duration.as_micros()).unwrap_or_default();
    histogram
        .record(micros)
        .expect("the histogram grows with what it counts");
}
