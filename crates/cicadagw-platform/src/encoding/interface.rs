//! The interface of an encoding.

use bytes::Bytes;
use cicadagw_unit::time::Span;

use super::{Listing, Request, Response};
use crate::{Changes, Condition, Error, Freshness, Key, Object, Position, Revision};

/// The encoding of one object API: it encodes calls as requests and decodes their responses.
///
/// An implementation holds no state and makes no decisions.
pub trait Encoding: Send + Sync {
    /// Returns the name of the response field that holds the era of the store, in lower case; `None`
    /// if the API counts no eras.
    fn era_field(&self) -> Option<&'static str> {
        None
    }

    /// Encodes a read of an object.
    fn get(&self, key: &Key) -> Request;

    /// Decodes the response to [`Encoding::get`]; returns `None` if the object does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the response reports an error, or is not a valid response to the call.
    fn object(&self, key: &Key, response: &Response) -> Result<Option<Object>, Error>;

    /// Encodes a conditional write of an object.
    fn put(&self, key: &Key, value: &Bytes, condition: Condition) -> Request;

    /// Decodes the response to [`Encoding::put`] and returns the new revision.
    ///
    /// # Errors
    ///
    /// Fails if the response reports an error, or is not a valid response to the call.
    fn written(&self, response: &Response) -> Result<Revision, Error>;

    /// Encodes a wait of up to `wait` for a change of an object after the revision `after`.
    fn watch(&self, key: &Key, after: Revision, wait: Span) -> Request;

    /// Encodes a check for a change of an object after the revision `after`, which does not wait and
    /// may be answered from stale data.
    fn check(&self, key: &Key, after: Revision) -> Request;

    /// Decodes the response to [`Encoding::watch`] or [`Encoding::check`].
    ///
    /// # Errors
    ///
    /// Fails if the response reports an error, or is not a valid response to the call.
    fn position(&self, key: &Key, after: Revision, response: &Response) -> Result<Position, Error>;

    /// Encodes a list of the objects whose keys start with `prefix`, continuing after the key
    /// `after`.
    fn objects(&self, prefix: &str, after: Option<&Key>, freshness: Freshness) -> Request;

    /// Decodes the response to [`Encoding::objects`]. An object that cannot be decoded does not make
    /// the list invalid.
    ///
    /// # Errors
    ///
    /// Fails if the response reports an error, or is not a valid response to the call.
    fn listed(&self, prefix: &str, response: &Response) -> Result<Listing, Error>;

    /// Encodes a list of the objects whose keys start with `prefix`, with their status; with `since`,
    /// a wait for changes after a revision. Returns `None` if the API has no status.
    fn tracked(&self, prefix: &str, since: Option<(Revision, Span)>) -> Option<Request>;

    /// Decodes the response to [`Encoding::tracked`]. An object that cannot be decoded is left out.
    ///
    /// # Errors
    ///
    /// Fails if the response reports an error, or is not a valid response to the call.
    fn changes(&self, prefix: &str, response: &Response) -> Result<Changes, Error>;

    /// Encodes a write of the status of an object that has this revision; [`Encoding::written`]
    /// decodes the response. Returns `None` if the API has no status.
    fn put_status(&self, key: &Key, status: &Bytes, revision: Revision) -> Option<Request>;

    /// Encodes the deletion of an object.
    fn delete(&self, key: &Key) -> Request;

    /// Decodes the response to [`Encoding::delete`].
    ///
    /// # Errors
    ///
    /// Fails if the response reports an error, or is not a valid response to the call.
    fn deleted(&self, response: &Response) -> Result<(), Error>;
}
