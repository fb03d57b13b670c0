//! Latency histograms.

use std::time::Duration;

use crate::counts::Counts;

/// The inclusive upper bounds of the buckets, in microseconds; one more bucket has no upper bound.
pub const BOUNDS_MICROS: [u64; 14] = [
    50, 100, 200, 300, 400, 500, 600, 700, 1_000, 2_000, 5_000, 10_000, 100_000, 1_000_000,
];

/// The number of buckets, including the one without an upper bound.
const BUCKETS: usize = BOUNDS_MICROS.len() + 1;

/// A snapshot of the buckets and the sum of a [`Histogram`].
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub struct Latency {
    /// The number of observations in each bucket, not cumulative.
    pub buckets: Vec<u64>,
    /// The sum of all observed latencies, in microseconds.
    pub sum_micros: u64,
}

impl Latency {
    /// Returns the total number of observations.
    pub fn count(&self) -> u64 {
        self.buckets.iter().sum()
    }
}

/// A latency histogram that threads may update concurrently.
#[derive(Debug, Default)]
pub struct Histogram {
    buckets: Counts<BUCKETS>,
    sum_micros: Counts<1>,
}

impl Histogram {
    /// Records one observed latency.
    pub fn record(&self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        let index = BOUNDS_MICROS.partition_point(|bound| *bound < micros);
        self.buckets.add(index, 1);
        self.sum_micros.add(0, micros);
    }

    /// Returns a snapshot. The counters are not read atomically, so a concurrent observation may be
    /// counted in its bucket but not in the sum, or the other way round.
    pub fn read(&self) -> Latency {
        Latency {
            buckets: (0..BUCKETS).map(|index| self.buckets.get(index)).collect(),
            sum_micros: self.sum_micros.get(0),
        }
    }
}
