//! Rates and shares.

use crate::macros::number;

number! {
    /// A number of events in a second.
    PerSecond(u32), "rate", "/s"
}

number! {
    /// A number of bytes in a second.
    Throughput(u64), "throughput", "B/s"
}

number! {
    /// A share of a whole, in thousandths.
    Permille(u16), "share", "permille"
}

number! {
    /// The rank of a call; the lowest number goes first.
    Priority(u8), "priority", ""
}

number! {
    /// A share of the calls of a route, relative to the other parts.
    Weight(u32), "weight", ""
}

impl Permille {
    /// The whole.
    pub const WHOLE: Self = Self(1_000);

    /// Returns this share of `whole`, rounded down.
    pub const fn of(self, whole: u64) -> u64 {
        whole.saturating_mul(self.0 as u64) / 1_000
    }
}
