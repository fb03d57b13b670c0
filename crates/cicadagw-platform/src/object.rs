//! Objects of the platform.

use std::fmt;

use bytes::Bytes;

use crate::Key;

/// Counts the writes to an object; every write raises it.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// An object as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Its key.
    pub key: Key,
    /// Its revision.
    pub revision: Revision,
    /// Its value.
    pub value: Bytes,
}

/// What must be true of an object for a write to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// Nothing need be true.
    Always,
    /// The object is not there.
    Absent,
    /// The object has this revision.
    Revision(Revision),
}

/// How new a list must be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// It holds every write that was acknowledged before.
    Newest,
    /// It may be seconds old, and costs less.
    Stale,
}

/// How far an object has been followed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Position {
    /// From where to go on.
    pub at: Revision,
    /// The object as it is now, if it has changed.
    pub object: Option<Object>,
}
