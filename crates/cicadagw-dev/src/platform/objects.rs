//! The object store and its conditional writes.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry as Slot;

use bytes::Bytes;
use cicadagw_platform::{Condition, Key, Revision};

/// The largest value that a write may have, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A stored object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The revision, set by the latest write.
    pub revision: Revision,
    /// The value.
    pub value: Bytes,
}

/// All objects, ordered by key.
#[derive(Clone, Debug, Default)]
pub struct Objects {
    entries: BTreeMap<Key, Entry>,
    /// The revision of the latest write. All objects share it, so that an object that is written
    /// again after its removal does not repeat a revision.
    latest: Revision,
}

/// The reason why a write did not take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PutError {
    /// The condition of the write does not hold.
    Conflict,
    /// The value is larger than [`MAX_VALUE_BYTES`].
    TooLarge,
}

impl Objects {
    /// Returns the object with the key `key`.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Writes an object if `condition` holds, and returns its new revision.
    ///
    /// # Errors
    ///
    /// Fails if the value is too large or `condition` does not hold; nothing is written then.
    pub fn put(
        &mut self,
        key: Key,
        value: Bytes,
        condition: Condition,
    ) -> Result<Revision, PutError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(PutError::TooLarge);
        }
        let slot = self.entries.entry(key);
        let holds = match (condition, &slot) {
            (Condition::Always, _) | (Condition::Absent, Slot::Vacant(_)) => true,
            (Condition::Revision(expected), Slot::Occupied(stored)) => {
                stored.get().revision == expected
            }
            (Condition::Absent, Slot::Occupied(_)) | (Condition::Revision(_), Slot::Vacant(_)) => {
                false
            }
        };
        if !holds {
            return Err(PutError::Conflict);
        }
        self.latest = Revision::new(self.latest.number() + 1);
        let revision = self.latest;
        slot.insert_entry(Entry { revision, value });
        Ok(revision)
    }

    /// Removes the object with the key `key`, if it exists.
    pub fn delete(&mut self, key: &Key) {
        self.entries.remove(key);
    }

    /// Returns the keys that begin with `prefix`, in ascending order.
    pub fn keys(&self, prefix: &str) -> Vec<Key> {
        let keys = self.entries.keys();
        keys.filter(|key| key.as_str().starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Returns the number of objects.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the store has no objects.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
