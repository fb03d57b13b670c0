//! The objects and the rules of their updates.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry as Slot;

use bytes::Bytes;
use cicadagw_platform::{Condition, Key, Revision};

/// The longest value, in bytes.
pub const VALUE_MAX: usize = 1 << 20;

/// An object's revision and value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The revision.
    pub revision: Revision,
    /// The value.
    pub value: Bytes,
}

/// All objects.
#[derive(Clone, Debug, Default)]
pub struct Objects {
    entries: BTreeMap<Key, Entry>,
    /// The newest revision; shared by all objects, so that one written again after its removal
    /// does not repeat a revision.
    newest: Revision,
}

/// Why a write did not take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The condition is not true.
    Conflict,
    /// The value is too long.
    Long,
}

impl Objects {
    /// Returns an object.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Writes an object when `condition` is true of it, and returns its new revision.
    ///
    /// # Errors
    ///
    /// Why nothing was written.
    pub fn put(
        &mut self,
        key: Key,
        value: Bytes,
        condition: Condition,
    ) -> Result<Revision, Refusal> {
        if value.len() > VALUE_MAX {
            return Err(Refusal::Long);
        }
        let slot = self.entries.entry(key);
        let holds = match (condition, &slot) {
            (Condition::Always, _) | (Condition::Absent, Slot::Vacant(_)) => true,
            (Condition::Revision(wanted), Slot::Occupied(held)) => held.get().revision == wanted,
            (Condition::Absent, Slot::Occupied(_)) | (Condition::Revision(_), Slot::Vacant(_)) => {
                false
            }
        };
        if !holds {
            return Err(Refusal::Conflict);
        }
        self.newest = Revision(self.newest.0 + 1);
        let revision = self.newest;
        slot.insert_entry(Entry { revision, value });
        Ok(revision)
    }

    /// Removes an object.
    pub fn delete(&mut self, key: &Key) {
        self.entries.remove(key);
    }

    /// Returns the keys that begin with `prefix`, in order.
    pub fn keys(&self, prefix: &str) -> Vec<Key> {
        let keys = self.entries.keys();
        keys.filter(|key| key.as_str().starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Returns how many objects there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether there is no object.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
