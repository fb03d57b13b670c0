//! Histograms of times.

use std::time::Duration;

use crate::counts::Counts;

/// The upper bounds of the buckets in microseconds, each included; a last bucket has no bound.
pub const BOUNDS_MICROS: [u64; 14] = [
    50, 100, 200, 300, 400, 500, 600, 700, 1_000, 2_000, 5_000, 10_000, 100_000, 1_000_000,
];

/// The number of buckets.
const BUCKETS: usize = BOUNDS_MICROS.len() + 1;

/// Counts of added times, as they stood at one reading.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub struct Latency {
    /// How many times there were in each bucket alone.
    pub buckets: Vec<u64>,
    /// The sum of all times, in microseconds.
    pub sum_micros: u64,
}

impl Latency {
    /// Returns how many times were counted.
    pub fn count(&self) -> u64 {
        self.buckets.iter().sum()
    }
}

/// A histogram that is written by many threads.
#[derive(Debug, Default)]
pub struct Histogram {
    buckets: Counts<BUCKETS>,
    sum_micros: Counts<1>,
}

impl Histogram {
    /// Counts a time.
    pub fn record(&self, added: Duration) {
        let micros = u64::try_from(added.as_micros()).unwrap_or(u64::MAX);
        let index = BOUNDS_MICROS.partition_point(|bound| *bound < micros);
        self.buckets.add(index, 1);
        self.sum_micros.add(0, micros);
    }

    /// Returns the counts, each read on its own.
    pub fn read(&self) -> Latency {
        Latency {
            buckets: (0..BUCKETS).map(|index| self.buckets.get(index)).collect(),
            sum_micros: self.sum_micros.get(0),
        }
    }
}
