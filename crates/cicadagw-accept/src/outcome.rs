//! Outcomes of changes.

use std::fmt;

use cicadagw_config::Violation;
use cicadagw_config::head::Entry;
use cicadagw_unit::{Version, id};

/// The outcome of a change.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The change was accepted and has this entry in the head.
    Accepted(Entry),
    /// The change was accepted earlier, with this entry.
    Known(Entry),
    /// The request was a dry run; the change would be accepted with this entry.
    Trial(Entry),
    /// The change has no effect, because the head was changed meanwhile or the operator's base
    /// version is not the current version. The conflicting change is included if it could be read.
    Conflict(Option<Entry>),
    /// The change is invalid and has no effect.
    Refused(Refusal),
    /// The platform was unavailable or did not execute a request, for this reason, and the change
    /// has no effect.
    Unavailable(String),
    /// The platform's response was lost, and whether the change was accepted could not be
    /// determined.
    Unknown(String),
}

/// The reason why a change is invalid.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The configuration violates these rules.
    #[serde(rename = "faults")]
    Violations(Vec<Violation>),
    /// The change id belongs to another change, which was accepted as this version.
    Reused(Version),
    /// No configuration was applied yet that the change could modify.
    Empty,
    /// The requested version is not in the history; the second field lists the versions that are.
    NoVersion(Version, Vec<Version>),
    /// The head or a snapshot that it references cannot be read.
    Unreadable(String),
    /// The configuration declares no preset to put in force.
    NoPreset,
    /// The requested preset is not declared; the second field lists the declared ones.
    UnknownPreset(id::Preset, Vec<id::Preset>),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Violations(violations) => {
                write!(f, "the configuration has {} fault(s)", violations.len())?;
                violations.iter().try_for_each(|violation| {
                    write!(f, "\n{}: {}", violation.object, violation.message)
                })
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
                write!(f, "the stored configuration cannot be read: {reason}")
            }
            Self::NoPreset => f.write_str("the configuration declares no preset"),
            Self::UnknownPreset(preset, _) => write!(f, "preset `{preset}` is not declared"),
        }
    }
}
