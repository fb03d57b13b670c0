//! The trait of the platform's object store.

use bytes::Bytes;
use cicadagw_unit::time::Span;

use crate::{Condition, Error, Freshness, Key, Object, Position, Revision};

/// The platform's object store.
///
/// Futures are not required to be `Send`, so each thread uses a store of its own. Every method fails with the
/// [`Error`] that tells why; after a failed [`Store::put`] or [`Store::delete`], only
/// [`Error::Unknown`] leaves open whether the write took effect.
#[allow(async_fn_in_trait)]
pub trait Store {
    /// Reads an object; returns `None` if it does not exist.
    async fn get(&self, key: &Key) -> Result<Option<Object>, Error>;

    /// Writes an object if it satisfies `condition`, and returns its new revision.
    async fn put(&self, key: &Key, value: Bytes, condition: Condition) -> Result<Revision, Error>;

    /// Waits up to `wait` for the object to have a revision above `after`; returns `None` if there
    /// was none.
    async fn watch(&self, key: &Key, after: Revision, wait: Span) -> Result<Option<Object>, Error>;

    /// Waits like [`Store::watch`], and also returns the revision to pass as `after` to the next call.
    ///
    /// That revision may advance without a change of the object.
    async fn follow(&self, key: &Key, after: Revision, wait: Span) -> Result<Position, Error> {
        let object = self.watch(key, after, wait).await?;
        let at = object.as_ref().map_or(after, |object| object.revision);
        Ok(Position { at, object })
    }

    /// Returns the objects whose keys start with `prefix`; the second argument tells whether the
    /// list may be stale.
    ///
    /// The default implementation ignores that argument and reads each object with a call of its
    /// own.
    async fn objects(&self, prefix: &str, _: Freshness) -> Result<Vec<Object>, Error> {
        let mut objects = Vec::new();
        for key in self.list(prefix).await? {
            objects.extend(self.get(&key).await?);
        }
        Ok(objects)
    }

    /// Returns the keys that start with `prefix`.
    async fn list(&self, prefix: &str) -> Result<Vec<Key>, Error>;

    /// Deletes an object; succeeds if it does not exist.
    async fn delete(&self, key: &Key) -> Result<(), Error>;
}
