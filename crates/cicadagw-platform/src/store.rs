//! The edge towards the platform.

use bytes::Bytes;
use cicadagw_unit::time::Span;

use crate::{Condition, Error, Freshness, Key, Object, Position, Revision};

/// The platform's object store, as one thread of a process uses it.
#[allow(async_fn_in_trait)]
pub trait Store {
    /// Reads an object; `None` when it is not there.
    async fn get(&self, key: &Key) -> Result<Option<Object>, Error>;

    /// Writes an object when `condition` is true of it, and returns its new revision.
    async fn put(&self, key: &Key, value: Bytes, condition: Condition) -> Result<Revision, Error>;

    /// Waits at most `wait` for a revision above `after`; `None` when there was none.
    async fn watch(&self, key: &Key, after: Revision, wait: Span) -> Result<Option<Object>, Error>;

    /// As [`Store::watch`], and tells from where to go on.
    async fn follow(&self, key: &Key, after: Revision, wait: Span) -> Result<Position, Error> {
        let object = self.watch(key, after, wait).await?;
        let at = object.as_ref().map_or(after, |object| object.revision);
        Ok(Position { at, object })
    }

    /// Returns the objects whose keys begin with `prefix`.
    async fn objects(&self, prefix: &str, _: Freshness) -> Result<Vec<Object>, Error> {
        let mut objects = Vec::new();
        for key in self.list(prefix).await? {
            objects.extend(self.get(&key).await?);
        }
        Ok(objects)
    }

    /// Lists the keys that begin with `prefix`.
    async fn list(&self, prefix: &str) -> Result<Vec<Key>, Error>;

    /// Removes an object; one that is not there is no error.
    async fn delete(&self, key: &Key) -> Result<(), Error>;
}
