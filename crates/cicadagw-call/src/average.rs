//! Exponentially weighted moving averages.

use cicadagw_unit::size::Bytes;

/// The largest response size of one sample; a response may state an odd length.
pub(crate) const RESPONSE_MAX: Bytes = Bytes::new(64 << 20);

/// The weight of a new sample in the average is one divided by this number.
const SMOOTHING: u64 = 8;

/// Returns the average `old` updated with the sample `new`.
pub(crate) const fn smooth(old: u64, new: u64) -> u64 {
    old.saturating_mul(SMOOTHING - 1).saturating_add(new) / SMOOTHING
}
