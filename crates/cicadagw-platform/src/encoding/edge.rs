//! The edge at which an API's names are decoded.

use bytes::Bytes;
use cicadagw_unit::time::Span;

use super::{Answer, Call};
use crate::{Condition, Error, Freshness, Key, Object, Position, Revision};

/// How one object API writes calls and reads answers. An implementation holds no state and decides
/// nothing.
pub trait Encoding: Send + Sync {
    /// Writes the call that reads an object.
    fn get(&self, key: &Key) -> Call;

    /// Reads its answer.
    ///
    /// # Errors
    ///
    /// What the answer says instead.
    fn object(&self, key: &Key, answer: &Answer) -> Result<Option<Object>, Error>;

    /// Writes the call that writes an object.
    fn put(&self, key: &Key, value: &Bytes, condition: Condition) -> Call;

    /// Reads its answer.
    ///
    /// # Errors
    ///
    /// What the answer says instead.
    fn written(&self, answer: &Answer) -> Result<Revision, Error>;

    /// Writes the call that waits for a change of an object after `after`.
    fn follow(&self, key: &Key, after: Revision, wait: Span) -> Call;

    /// Reads its answer.
    ///
    /// # Errors
    ///
    /// What the answer says instead.
    fn position(&self, key: &Key, after: Revision, answer: &Answer) -> Result<Position, Error>;

    /// Writes the call that lists the objects whose keys begin with `prefix`, after the key `after`.
    fn objects(&self, prefix: &str, after: Option<&Key>, freshness: Freshness) -> Call;

    /// Reads its answer: the objects, and whether there are more.
    ///
    /// # Errors
    ///
    /// What the answer says instead.
    fn listed(&self, prefix: &str, answer: &Answer) -> Result<(Vec<Object>, bool), Error>;

    /// Writes the call that removes an object.
    fn delete(&self, key: &Key) -> Call;

    /// Reads its answer.
    ///
    /// # Errors
    ///
    /// What the answer says instead.
    fn deleted(&self, answer: &Answer) -> Result<(), Error>;
}
