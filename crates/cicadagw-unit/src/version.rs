//! Monotonic version and sequence numbers.

use std::fmt;
use std::str::FromStr;

use crate::Error;
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
    /// The number of times that a store has been restored from a copy. A restored store gives out
    /// the revisions after the copy anew, for other changes; a store that counts no eras stays in
    /// era zero.
    Era(u64), "era", ""
}

/// A revision of a store or of an object in it; every write increases it.
///
/// Numbers of different eras name different changes, so a revision contains its era, and one of a
/// later era follows all those of earlier eras. Its string form is the number alone in era zero, and
/// otherwise the era, a colon and the number.
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
pub struct Revision {
    #[serde(default, skip_serializing_if = "Era::is_zero")]
    era: Era,
    #[serde(rename = "revision")]
    number: u64,
}

/// Orders what is decided about one rollout: a later decision has a higher term, whoever made it.
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
#[serde(from = "TermFields", into = "TermFields")]
pub struct Term(Revision);

/// The serialized form of a [`Term`].
#[derive(serde::Deserialize, serde::Serialize)]
struct TermFields {
    #[serde(default, skip_serializing_if = "Era::is_zero")]
    era: Era,
    term: u64,
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

impl Era {
    /// Returns whether the store counts no eras.
    #[expect(
        clippy::trivially_copy_pass_by_ref,
        reason = "serde passes a reference"
    )]
    const fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl Revision {
    /// Creates a revision of a store that counts no eras.
    pub const fn new(number: u64) -> Self {
        Self {
            era: Era::new(0),
            number,
        }
    }

    /// Returns the revision with the same number in `era`.
    #[must_use]
    pub const fn in_era(self, era: Era) -> Self {
        Self { era, ..self }
    }

    /// Returns the era of the store.
    pub const fn era(self) -> Era {
        self.era
    }

    /// Returns the number, which identifies a change only together with the era.
    pub const fn number(self) -> u64 {
        self.number
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era.is_zero() {
            write!(f, "{}", self.number)
        } else {
            write!(f, "{}:{}", self.era, self.number)
        }
    }
}

impl FromStr for Revision {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, number) = text.split_once(':').unwrap_or(("0", text));
        let syntax = || {
            Error::new(
                "revision",
                text,
                "a number, or an era, a colon and a number",
            )
        };
        Ok(Self {
            era: era.parse().map_err(|_| syntax())?,
            number: number.parse().map_err(|_| syntax())?,
        })
    }
}

impl From<Revision> for Term {
    fn from(revision: Revision) -> Self {
        Self(revision)
    }
}

impl From<Term> for Revision {
    fn from(term: Term) -> Self {
        term.0
    }
}

impl From<TermFields> for Term {
    fn from(fields: TermFields) -> Self {
        Self(Revision::new(fields.term).in_era(fields.era))
    }
}

impl From<Term> for TermFields {
    fn from(Term(revision): Term) -> Self {
        Self {
            era: revision.era,
            term: revision.number,
        }
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Term {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
