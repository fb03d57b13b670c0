//! Results of calls and their summary.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use hdrhistogram::Histogram;

use super::Outcome;

/// The number of significant decimal digits of a latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The summary of the results of many calls.
#[derive(Clone, Debug)]
pub struct Report {
    answered: u64,
    /// The request ids of the calls that were not answered, by outcome.
    unanswered: BTreeMap<Outcome, Vec<CompactString>>,
    /// The number of calls for each reason that nodes reported.
    reasons: BTreeMap<CompactString, u64>,
    /// Latencies of answered calls, in microseconds.
    latencies: Histogram<u64>,
    /// Delays between the time at which a call was due and its start, in microseconds.
    lags: Histogram<u64>,
}

/// Quantiles of latencies, in microseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Latency {
    /// The median.
    pub p50_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// The 99.9th percentile.
    pub p999_us: u64,
    /// The maximum.
    pub max_us: u64,
}

/// The result of one call.
pub(crate) struct CallResult {
    pub(crate) request: CompactString,
    pub(crate) outcome: Outcome,
    /// The reason why the node responded instead of a backend server, if it gave one.
    pub(crate) reason: Option<CompactString>,
    pub(crate) latency: Duration,
    pub(crate) lag: Duration,
}

impl Default for Report {
    fn default() -> Self {
        let histogram = || {
            Histogram::new(SIGNIFICANT_DIGITS)
                .expect("the number of significant digits is at most 5")
        };
        Self {
            answered: 0,
            unanswered: BTreeMap::new(),
            reasons: BTreeMap::new(),
            latencies: histogram(),
            lags: histogram(),
        }
    }
}

impl Report {
    /// Returns the number of calls with `outcome`.
    pub fn count(&self, outcome: Outcome) -> u64 {
        match outcome {
            Outcome::Answered => self.answered,
            other => self.requests(other).len() as u64,
        }
    }

    /// Returns the number of all calls.
    pub fn total(&self) -> u64 {
        let unanswered: usize = self.unanswered.values().map(Vec::len).sum();
        self.answered + unanswered as u64
    }

    /// Returns the ids of the requests with `outcome`; none for [`Outcome::Answered`], whose ids
    /// are not kept.
    pub fn requests(&self, outcome: Outcome) -> &[CompactString] {
        self.unanswered.get(&outcome).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of calls for each reason that nodes reported.
    pub const fn reasons(&self) -> &BTreeMap<CompactString, u64> {
        &self.reasons
    }

    /// Returns the latency of answered calls, measured from their start.
    pub fn latency(&self) -> Latency {
        Latency::from_histogram(&self.latencies)
    }

    /// Returns the delays between the time at which a call was due and its start.
    pub fn lag(&self) -> Latency {
        Latency::from_histogram(&self.lags)
    }

    /// Adds the results of `other`.
    pub fn merge(&mut self, other: Self) {
        self.answered += other.answered;
        for (outcome, requests) in other.unanswered {
            self.unanswered.entry(outcome).or_default().extend(requests);
        }
        for (reason, count) in other.reasons {
            *self.reasons.entry(reason).or_default() += count;
        }
        self.latencies += other.latencies;
        self.lags += other.lags;
    }

    /// Adds the result of a call.
    pub(crate) fn record(&mut self, result: CallResult) {
        record_duration(&mut self.lags, result.lag);
        if let Some(reason) = result.reason {
            *self.reasons.entry(reason).or_default() += 1;
        }
        if result.outcome == Outcome::Answered {
            self.answered += 1;
            record_duration(&mut self.latencies, result.latency);
        } else {
            let requests = self.unanswered.entry(result.outcome).or_default();
            requests.push(result.request);
        }
    }
}

impl Latency {
    fn from_histogram(histogram: &Histogram<u64>) -> Self {
        Self {
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}

/// Records `duration` in microseconds; one that does not fit in 64 bits is recorded as zero.
fn record_duration(histogram: &mut Histogram<u64>, duration: Duration) {
    let micros = u64::try_from(duration.as_micros()).unwrap_or_default();
    histogram
        .record(micros)
        .expect("the histogram resizes itself");
}
