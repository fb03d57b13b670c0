//! Arrays of atomic counters.

use std::sync::atomic::{AtomicU64, Ordering};

/// `N` counters, one for each value or combination of values of the labels.
#[derive(Debug)]
pub(crate) struct Counts<const N: usize>([AtomicU64; N]);

impl<const N: usize> Default for Counts<N> {
    fn default() -> Self {
        Self(std::array::from_fn(|_| AtomicU64::default()))
    }
}

impl<const N: usize> Counts<N> {
    /// Adds `number` to the counter at `index`.
    pub(crate) fn add(&self, index: usize, number: u64) {
        self.0[index].fetch_add(number, Ordering::Relaxed);
    }

    /// Sets the counter at `index` to `number`.
    pub(crate) fn set(&self, index: usize, number: u64) {
        self.0[index].store(number, Ordering::Relaxed);
    }

    /// Returns the counter at `index`.
    pub(crate) fn get(&self, index: usize) -> u64 {
        self.0[index].load(Ordering::Relaxed)
    }
}
