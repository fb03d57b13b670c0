//! Snapshots.

use std::fmt;

use cicadagw_unit::{Digest, Version, id};

use crate::Config;

/// Names a snapshot: its version and the digest of its content.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    /// The digest of the content.
    pub digest: Digest,
    /// The version; zero is held by nobody and means that there is none yet.
    pub version: Version,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.version, self.digest)
    }
}

/// One whole configuration at one version, with the preset in force.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The objects.
    pub config: Config,
    /// The preset in force.
    pub preset: id::Preset,
    /// Version and digest.
    pub stamp: Stamp,
}

impl Snapshot {
    /// Creates the snapshot of `config` at `version`, and computes its digest.
    pub fn new(version: Version, preset: id::Preset, config: Config) -> Self {
        let digest = config.digest(&preset);
        Self {
            config,
            preset,
            stamp: Stamp { digest, version },
        }
    }

    /// Tells whether the content has the digest that the stamp names.
    pub fn is_intact(&self) -> bool {
        self.config.digest(&self.preset) == self.stamp.digest
    }
}
