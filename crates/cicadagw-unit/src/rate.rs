//! Rates, shares, priorities and weights.

use std::fmt;
use std::str::FromStr;

use crate::Error;
use crate::macros::number;

number! {
    /// A rate of events per second.
    PerSecond(u32), "rate", "/s"
}

number! {
    /// How many calls may be made at once beyond a rate.
    Burst(u32), "burst", ""
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
    /// A number of calls that a quota allows.
    Tokens(u32), "number of calls", ""
}

number! {
    /// The relative share of a route's calls that one destination of a split receives.
    Weight(u32), "weight", ""
}

/// A rate of calls, in thousandths of a call per second. Its text is a decimal number of calls per
/// second.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
#[serde(transparent)]
pub struct CallRate(u64);

impl CallRate {
    /// The highest rate: a million calls per second.
    pub const MAX: Self = Self(1_000_000_000);

    /// Creates a rate from thousandths of a call per second; at most [`Self::MAX`].
    pub const fn from_milli(milli: u64) -> Self {
        if milli < Self::MAX.0 {
            Self(milli)
        } else {
            Self::MAX
        }
    }

    /// Returns the rate in thousandths of a call per second.
    pub const fn milli(self) -> u64 {
        self.0
    }
}

impl fmt::Display for CallRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (whole, milli) = (self.0 / 1_000, self.0 % 1_000);
        if milli == 0 {
            return write!(f, "{whole}");
        }
        let fraction = format!("{milli:03}");
        write!(f, "{whole}.{}", fraction.trim_end_matches('0'))
    }
}

impl FromStr for CallRate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_milli(text)
            .map(Self::from_milli)
            .ok_or_else(|| Error::new("rate of calls", text, "a decimal number such as `29.7`"))
    }
}

/// Parses a decimal number without a sign or an exponent, in thousandths; further digits are
/// dropped, and a number that is too large becomes the largest.
fn parse_milli(text: &str) -> Option<u64> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_number =
        |digits: &str| !digits.is_empty() && digits.bytes().all(|digit| digit.is_ascii_digit());
    if !is_number(whole) || !is_number(fraction) {
        return None;
    }
    let whole: u64 = whole.parse().unwrap_or(u64::MAX);
    let milli: u64 = format!("{fraction:0<3}")[..3].parse().ok()?;
    Some(whole.saturating_mul(1_000).saturating_add(milli))
}

impl Permille {
    /// The fraction 1, which is 1000 thousandths.
    pub const WHOLE: Self = Self(1_000);

    /// Returns this fraction of `whole`, rounded down; the product saturates before the division.
    pub const fn of(self, whole: u64) -> u64 {
        whole.saturating_mul(self.0 as u64) / 1_000
    }
}
