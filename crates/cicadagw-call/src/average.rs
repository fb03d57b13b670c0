//! Running averages.

/// The share of a new measurement in a running average: one in this many.
const SMOOTHING: u64 = 8;

/// Returns the running average `old` with `new` taken in.
pub(crate) const fn smooth(old: u64, new: u64) -> u64 {
    (old * (SMOOTHING - 1) + new) / SMOOTHING
}
