//! Monotonic version and sequence numbers.

use crate::macros::number;

number! {
    /// The version of the configuration; every accepted change increments it by one.
    Version(u64), "version", ""
}

number! {
    /// The position of an update in the sequence of updates about one endpoint; the update with
    /// the higher number is newer.
    Sequence(u64), "sequence number", ""
}

number! {
    /// Orders what is decided about one rollout: a later decision has a higher number, whoever made it.
    Term(u64), "term", ""
}

impl Version {
    /// Returns the version of the next accepted change.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Sequence {
    /// Returns the sequence number of the next update.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
