//! Change requests of operators.

use cicadagw_config::head::Entry;
use cicadagw_config::{Config, Head};
use cicadagw_unit::{Version, id};

/// A request to accept a change.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// The version that the operator based the change on; if another version is current, the change
    /// is a conflict. Without it, the change applies to any version.
    pub base: Option<Version>,
    /// The change id, by which a repeated request is recognized.
    pub change: id::Change,
    /// The requested change.
    pub intent: Intent,
    /// The operator who requests the change.
    pub operator: id::Operator,
    /// Whether the request is a dry run, which validates the change and writes nothing.
    pub trial: bool,
}

/// The kind of a change.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Intent {
    /// Replace the whole configuration.
    Apply {
        /// The new configuration.
        config: Box<Config>,
        /// The preset to put in force; if `None`, the one in force remains.
        preset: Option<id::Preset>,
    },
    /// Put a preset in force.
    Preset(id::Preset),
    /// Restore the configuration and the preset of an earlier version.
    Rollback(Version),
}

impl Intent {
    /// Returns whether `entry` of `head` is the result of this intent.
    pub(crate) fn produced(&self, entry: &Entry, head: &Head) -> bool {
        match self {
            Self::Apply { config, preset } => {
                let has_same_preset = preset.as_ref().is_none_or(|preset| *preset == entry.preset);
                has_same_preset && config.digest(&entry.preset) == entry.stamp.digest
            }
            Self::Preset(preset) => *preset == entry.preset,
            Self::Rollback(version) => find_version(head, *version)
                .is_none_or(|old| old.stamp.digest == entry.stamp.digest),
        }
    }
}

/// Returns the entry of `version`, if the history still holds it.
pub(crate) fn find_version(head: &Head, version: Version) -> Option<&Entry> {
    head.history
        .iter()
        .find(|entry| entry.stamp.version == version)
}
