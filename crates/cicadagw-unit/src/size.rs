//! Sizes and counts.

use crate::macros::number;

number! {
    /// A number of bytes.
    Bytes(u64), "size", "B"
}

number! {
    /// A number of requests or connections that may be held at once.
    Slots(u32), "number of slots", ""
}

number! {
    /// A number of hops from node to node.
    Hops(u8), "number of hops", ""
}

impl Bytes {
    /// Returns the sum, or the highest size when it does not fit.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}
