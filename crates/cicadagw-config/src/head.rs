//! The head: the object that references the active configuration.

use cicadagw_unit::{Digest, Version, id};
use smallvec::SmallVec;

use crate::Stamp;

/// The maximum number of entries in the history of a head.
pub const HISTORY_LEN: usize = 32;

/// The object that references the active configuration.
///
/// A change is accepted by one conditional update of this object.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The accepted changes, newest first; never empty.
    pub history: Vec<Entry>,
}

/// An accepted change.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The id of the change, chosen by the client that submitted it.
    pub change: id::Change,
    /// The part that holds the delta from the previous version, if there is one.
    pub delta: Option<Digest>,
    /// The operator who made the change.
    pub operator: id::Operator,
    /// The parts that together hold the complete configuration, in order.
    pub parts: SmallVec<[Digest; 2]>,
    /// The preset that is active since the change.
    pub preset: id::Preset,
    /// The version and the digest of the resulting snapshot.
    pub stamp: Stamp,
}

impl Head {
    /// Returns the newest entry, whose configuration is active.
    pub fn newest(&self) -> &Entry {
        &self.history[0]
    }

    /// Returns the active version.
    pub fn version(&self) -> Version {
        self.newest().stamp.version
    }

    /// Returns the entry of `change`, if the history still contains it.
    pub fn find(&self, change: &id::Change) -> Option<&Entry> {
        self.history.iter().find(|entry| entry.change == *change)
    }

    /// Returns the head that results from accepting `entry` on top of this one; the oldest entries
    /// beyond [`HISTORY_LEN`] are dropped.
    #[must_use]
    pub fn accept(&self, entry: Entry) -> Self {
        let mut history = vec![entry];
        history.extend(self.history.iter().take(HISTORY_LEN - 1).cloned());
        Self { history }
    }
}
