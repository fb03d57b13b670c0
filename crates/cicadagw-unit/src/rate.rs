//! Rates, shares, priorities and weights.

use crate::macros::number;

number! {
    /// A rate of events per second.
    PerSecond(u32), "rate", "/s"
}

number! {
    /// A rate of bytes per second.
    Throughput(u64), "throughput", "B/s"
}

number! {
    /// A fraction, in thousandths.
    Permille(u16), "share", "permille"
}

number! {
    /// The priority of a call in a queue; the call with the lowest number is served first.
    Priority(u8), "priority", ""
}

number! {
    /// The relative share of a route's calls that one destination of a split receives.
    Weight(u32), "weight", ""
}

impl Permille {
    /// The fraction 1, which is 1000 thousandths.
    pub const WHOLE: Self = Self(1_000);

    /// Returns this fraction of `whole`, rounded down; the product saturates before the division.
    pub const fn of(self, whole: u64) -> u64 {
        whole.saturating_mul(self.0 as u64) / 1_000
    }
}
