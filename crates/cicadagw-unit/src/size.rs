//! Sizes and counts.

use crate::macros::number;

number! {
    /// A size in bytes.
    Bytes(u64), "size", "B"
}

number! {
    /// A number of requests, connections or other items that are processed concurrently.
    Slots(u32), "number of slots", ""
}

number! {
    /// A number of hops from node to node that a call makes.
    Hops(u8), "number of hops", ""
}

impl Slots {
    /// The largest number that a backend server may announce.
    pub const MAX: Self = Self(100_000);
}

impl Bytes {
    /// Returns the sum of both sizes, saturating at the maximum.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}
