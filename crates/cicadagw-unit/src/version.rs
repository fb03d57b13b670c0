//! Counters that only rise.

use crate::macros::number;

number! {
    /// Counts accepted configurations; every accepted change raises it by one.
    Version(u64), "version", ""
}

number! {
    /// Counts the news about one endpoint; a higher number is newer.
    Sequence(u64), "sequence number", ""
}

impl Version {
    /// Returns the version that the next accepted change gets.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Sequence {
    /// Returns the number of the next piece of news.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
