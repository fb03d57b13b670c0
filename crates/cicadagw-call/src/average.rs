//! Exponentially weighted moving averages.

/// The weight of a new sample in the average is one divided by this number.
const SMOOTHING: u64 = 8;

/// Returns the average `old` updated with the sample `new`.
pub(crate) const fn smooth(old: u64, new: u64) -> u64 {
    (old * (SMOOTHING - 1) + new) / SMOOTHING
}
