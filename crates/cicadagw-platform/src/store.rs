//! The edge towards the platform.

use bytes::Bytes;
use cicadagw_unit::time::Span;

use crate::{Condition, Error, Key, Object, Revision};

/// The platform's object store, as one thread of a process uses it.
#[allow(async_fn_in_trait)]
pub trait Store {
    /// Reads an object; `None` when it is not there.
    async fn get(&self, key: &Key) -> Result<Option<Object>, Error>;

    /// Writes an object when `condition` is true of it, and returns its new revision.
    async fn put(&self, key: &Key, value: Bytes, condition: Condition) -> Result<Revision, Error>;

    /// Waits at most `wait` for a revision above `after`; `None` when there was none.
    async fn watch(&self, key: &Key, after: Revision, wait: Span) -> Result<Option<Object>, Error>;

    /// Lists the keys that begin with `prefix`.
    async fn list(&self, prefix: &str) -> Result<Vec<Key>, Error>;

    /// Removes an object; one that is not there is no error.
    async fn delete(&self, key: &Key) -> Result<(), Error>;
}
