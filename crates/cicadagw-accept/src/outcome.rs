//! What becomes of a change.

use std::fmt;

use cicadagw_config::Violation;
use cicadagw_config::head::Entry;
use cicadagw_unit::{Version, id};

/// What became of a change.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It is accepted and has this entry in the head.
    Accepted(Entry),
    /// It had been accepted before, with this entry.
    Known(Entry),
    /// It was a trial; it would be accepted with this entry.
    Trial(Entry),
    /// Another change came first; this one has no effect. The other one is named where it could be
    /// read.
    Conflict(Option<Entry>),
    /// The change is wrong; it has no effect.
    Refused(Refusal),
    /// The platform cannot be used; the change has no effect.
    Unavailable(String),
    /// The platform's answer was lost, and what became of the change could not be learnt.
    Unknown(String),
}

/// Why a change is wrong.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The configuration has faults.
    Faults(Vec<Violation>),
    /// The change id belongs to another change, which got this version.
    Reused(Version),
    /// There is no configuration yet that could be changed.
    Empty,
    /// The history does not hold this version; it holds these.
    NoVersion(Version, Vec<Version>),
    /// What the head names cannot be read.
    Unreadable(String),
    /// The configuration declares no preset that could be in force.
    NoPreset,
    /// The preset is not declared; these are.
    UnknownPreset(id::Preset, Vec<id::Preset>),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Faults(faults) => {
                write!(f, "the configuration has {} fault(s)", faults.len())?;
                faults
                    .iter()
                    .try_for_each(|fault| write!(f, "\n{}: {}", fault.object, fault.message))
            }
            Self::Reused(version) => write!(
                f,
                "the change id belongs to another change, which got version {version}"
            ),
            Self::Empty => f.write_str("no configuration was applied yet"),
            Self::NoVersion(version, _) => {
                write!(f, "the history does not hold version {version}")
            }
            Self::Unreadable(reason) => {
                write!(f, "the configuration in force cannot be read: {reason}")
            }
            Self::NoPreset => f.write_str("the configuration declares no preset"),
            Self::UnknownPreset(preset, _) => write!(f, "preset `{preset}` is not declared"),
        }
    }
}
