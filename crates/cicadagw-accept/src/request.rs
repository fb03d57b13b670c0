//! What operators ask for.

use cicadagw_config::head::Entry;
use cicadagw_config::{Config, Head};
use cicadagw_unit::{Version, id};

/// A change that is to be accepted.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// The version that the operator started from; another one in force is a conflict.
    pub base: Option<Version>,
    /// The change id.
    pub change: id::Change,
    /// What is to change.
    pub intent: Intent,
    /// Who asks.
    pub operator: id::Operator,
    /// Whether everything but the writing is to be done.
    pub trial: bool,
}

/// What is to change.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Intent {
    /// Replace the whole configuration.
    Apply {
        /// The new configuration.
        config: Box<Config>,
        /// The preset to be in force; the one in force stays where none is given.
        preset: Option<id::Preset>,
    },
    /// Put a preset in force.
    Preset(id::Preset),
    /// Return to the content of an earlier version.
    Rollback(Version),
}

impl Intent {
    /// Tells whether `entry`, which `head` names, is what this intent led to.
    pub(crate) fn led_to(&self, entry: &Entry, head: &Head) -> bool {
        match self {
            Self::Apply { config, preset } => {
                let same_preset = preset.as_ref().is_none_or(|preset| *preset == entry.preset);
                same_preset && config.digest(&entry.preset) == entry.stamp.digest
            }
            Self::Preset(preset) => *preset == entry.preset,
            Self::Rollback(version) => {
                find(head, *version).is_none_or(|old| old.stamp.digest == entry.stamp.digest)
            }
        }
    }
}

/// Returns the entry of `version`, when the history still holds it.
pub(crate) fn find(head: &Head, version: Version) -> Option<&Entry> {
    head.history
        .iter()
        .find(|entry| entry.stamp.version == version)
}
