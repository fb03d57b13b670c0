//! Timestamps and durations, in milliseconds.
//!
//! Callers pass the current time in, so nothing here reads a clock.

use std::time::Duration;

use crate::macros::number;

number! {
    /// A point in time, in milliseconds since an origin that the process chooses, such as its start.
    Timestamp(u64), "moment", "ms"
}

number! {
    /// A duration, in milliseconds.
    Span(u64), "duration", "ms"
}

impl Timestamp {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// Returns the timestamp that is `span` later than this one, saturating at the maximum.
    #[must_use]
    pub const fn after(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    /// Returns the timestamp that is `span` earlier than this one, saturating at the origin.
    #[must_use]
    pub const fn before(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl Span {
    /// Creates a duration of `seconds` seconds.
    pub const fn seconds(seconds: u64) -> Self {
        Self(seconds * 1_000)
    }

    /// Parses a number, which may have a fraction, with the unit `ms` or `s`, and rounds it up to whole
    /// milliseconds. Returns `None` if it is invalid, negative or longer than 1e15 ms.
    pub fn from_decimal(text: &str) -> Option<Self> {
        let milliseconds = match text.strip_suffix("ms") {
            Some(number) => number.parse::<f64>().ok()?,
            None => text.strip_suffix('s')?.parse::<f64>().ok()? * 1_000.0,
        };
        let is_valid = milliseconds.is_finite() && (0.0..=1e15).contains(&milliseconds);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the range is checked"
        )]
        is_valid.then(|| Self(milliseconds.ceil() as u64))
    }

    /// Returns the sum of both durations, saturating at the maximum.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns this duration multiplied by `factor`, saturating at the maximum.
    #[must_use]
    pub const fn times(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Self {
        Self::from_millis(span.0)
    }
}

impl From<Duration> for Span {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}
