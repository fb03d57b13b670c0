//! Snapshots.

use std::fmt;

use cicadagw_unit::{Digest, Version, id};

use crate::Config;

/// Identifies a snapshot by its version and the digest of its content.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    /// The digest of the content.
    pub digest: Digest,
    /// The version; zero is never assigned and means that there is no snapshot yet.
    pub version: Version,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.version, self.digest)
    }
}

/// The complete configuration at one version, with the active preset.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The declared objects.
    pub config: Config,
    /// The active preset.
    pub preset: id::Preset,
    /// The version and the digest.
    pub stamp: Stamp,
}

impl Snapshot {
    /// Creates a snapshot of `config` at `version` and computes its digest.
    pub fn new(version: Version, preset: id::Preset, config: Config) -> Self {
        let digest = config.digest(&preset);
        Self {
            config,
            preset,
            stamp: Stamp { digest, version },
        }
    }

    /// Returns whether the content has the digest that the stamp names.
    pub fn is_intact(&self) -> bool {
        self.config.digest(&self.preset) == self.stamp.digest
    }
}
