//! Objects of the platform and the conditions on their access.

use bytes::Bytes;
use cicadagw_unit::Revision;

use crate::Key;

/// An object at the revision at which it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// The key of the object.
    pub key: Key,
    /// The revision at which the object was read.
    pub revision: Revision,
    /// The value of the object.
    pub value: Bytes,
}

impl Object {
    /// Returns the size of the name and the value, in bytes.
    pub(crate) fn size(&self) -> usize {
        self.key.as_str().len() + self.value.len()
    }
}

/// An object whose value an operator writes, and whose status the system writes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tracked {
    /// Whether the object has been deleted; the other fields are then those of before, but for the
    /// revision.
    pub is_deleted: bool,
    /// The key of the object.
    pub key: Key,
    /// The revision of the last change of the object, its status or its deletion.
    pub revision: Revision,
    /// The status, if one has been written.
    pub status: Option<Bytes>,
    /// The value.
    pub value: Bytes,
}

impl From<Object> for Tracked {
    /// Returns the object without a status.
    fn from(object: Object) -> Self {
        Self {
            is_deleted: false,
            key: object.key,
            revision: object.revision,
            status: None,
            value: object.value,
        }
    }
}

/// The tracked objects of a kind, or those that have changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// The revision after which to continue.
    pub at: Revision,
    /// Whether a list lacks objects that follow.
    pub has_more: bool,
    /// The objects, each at most once.
    pub objects: Vec<Tracked>,
}

/// The precondition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// The write is unconditional.
    Always,
    /// The object does not exist.
    Absent,
    /// The object has this revision.
    Revision(Revision),
}

/// The consistency of a list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// The list reflects every write that was acknowledged before the call.
    Newest,
    /// The list may be seconds old, and costs less.
    Stale,
}

/// The result of [`crate::Store::follow`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Position {
    /// The revision after which to continue.
    pub at: Revision,
    /// The current object, if it has changed.
    pub object: Option<Object>,
}
