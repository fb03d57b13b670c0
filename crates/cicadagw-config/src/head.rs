//! The head: the one object that names the configuration in force.

use cicadagw_unit::{Digest, Version, id};
use smallvec::SmallVec;

use crate::Stamp;

/// How many entries the history of a head holds.
pub const HISTORY_LEN: usize = 32;

/// The object that names the configuration in force; accepting a change is one conditional update
/// of it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The accepted changes, newest first; never empty.
    pub history: Vec<Entry>,
}

/// One accepted change.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The change id that its writer chose.
    pub change: id::Change,
    /// The part that holds the delta from the version before, where there is one.
    pub delta: Option<Digest>,
    /// Who made the change.
    pub operator: id::Operator,
    /// The parts that together hold the whole configuration.
    pub parts: SmallVec<[Digest; 2]>,
    /// The preset in force.
    pub preset: id::Preset,
    /// Version and digest of the snapshot.
    pub stamp: Stamp,
}

impl Head {
    /// Returns the entry in force.
    pub fn newest(&self) -> &Entry {
        &self.history[0]
    }

    /// Returns the version in force.
    pub fn version(&self) -> Version {
        self.newest().stamp.version
    }

    /// Returns the entry of a change, when the history still holds it.
    pub fn find(&self, change: &id::Change) -> Option<&Entry> {
        self.history.iter().find(|entry| entry.change == *change)
    }

    /// Returns the head after `entry` was accepted on top of this one.
    #[must_use]
    pub fn accept(&self, entry: Entry) -> Self {
        let mut history = vec![entry];
        history.extend(self.history.iter().take(HISTORY_LEN - 1).cloned());
        Self { history }
    }
}
