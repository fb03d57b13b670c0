//! The edge at which an API's names are decoded.

use bytes::Bytes;
use cicadagw_unit::time::Span;

use super::{Request, Response};
use crate::{Condition, Error, Freshness, Key, Object, Position, Revision};

/// How one object API writes calls and reads answers. An implementation holds no state and decides
/// nothing.
pub trait Encoding: Send + Sync {
    /// Writes the call that reads an object.
    fn get(&self, key: &Key) -> Request;

    /// Reads its answer.
    ///
    /// # Errors
    ///
    /// What the answer says instead.
    fn object(&self, key: &Key, answer: &Response) -> Result<Option<Object>, Error>;

    /// Writes the call that writes an object.
    fn put(&self, key: &Key, value: &Bytes, condition: Condition) -> Request;

    /// Reads its answer.
    ///
    /// # Errors
    ///
    /// What the answer says instead.
    fn written(&self, answer: &Response) -> Result<Revision, Error>;

    /// Writes the call that waits for a change of an object after `after`.
    fn follow(&self, key: &Key, after: Revision, wait: Span) -> Request;

    /// Reads its answer.
    ///
    /// # Errors
    ///
    /// What the answer says instead.
    fn position(&self, key: &Key, after: Revision, answer: &Response) -> Result<Position, Error>;

    /// Writes the call that lists the objects whose keys begin with `prefix`, after the key `after`.
    fn objects(&self, prefix: &str, after: Option<&Key>, freshness: Freshness) -> Request;

    /// Reads its answer: the objects, and whether there are more.
    ///
    /// # Errors
    ///
    /// What the answer says instead.
    fn listed(&self, prefix: &str, answer: &Response) -> Result<(Vec<Object>, bool), Error>;

    /// Writes the call that removes an object.
    fn delete(&self, key: &Key) -> Request;

    /// Reads its answer.
    ///
    /// # Errors
    ///
    /// What the answer says instead.
    fn deleted(&self, answer: &Response) -> Result<(), Error>;
}
