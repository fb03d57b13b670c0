//! The edge itself.

use bytes::Bytes;
use cicadagw_call::Load;
use cicadagw_call::lifecycle::Announcement;
use cicadagw_finding::Findings;
use cicadagw_unit::id;
use cicadagw_unit::time::Span;

use crate::HeaderNames;

/// What a backend server says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Registration {
    /// It is there.
    Announce(Announcement),
    /// It takes no new work.
    Deregister(id::Endpoint),
}

/// Why a request to the announcements' listener says nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DecodeError {
    /// Nobody answers this method and path.
    NotFound,
    /// It cannot be read.
    Malformed(Findings),
}

/// How an announcement is answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Acknowledgement {
    /// The status code.
    pub status: u16,
    /// The body, in JSON.
    pub body: Bytes,
}

/// The words of callers and backend servers. An implementation holds no state and decides nothing.
pub trait Dialect: Send + Sync {
    /// Returns the names of header fields.
    fn header_names(&self) -> &HeaderNames;

    /// Tells whether `path` asks if the node takes calls.
    fn is_readiness_path(&self, path: &str) -> bool;

    /// Writes the value of `Retry-After` that lets a caller come back after `wait`.
    fn retry_after(&self, wait: Span) -> String;

    /// Reads the load that a backend server reports with a response.
    fn load(&self, text: &str) -> Option<Load>;

    /// Reads an announcement.
    ///
    /// # Errors
    ///
    /// Why the request says nothing.
    fn decode_registration(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Registration, DecodeError>;

    /// Answers an announcement that was taken in, and names the time after which the next one is
    /// awaited.
    fn acknowledge(&self, renew: Span) -> Acknowledgement;

    /// Answers an announcement of an endpoint that is gone for good.
    fn refuse_gone(&self, endpoint: &id::Endpoint) -> Acknowledgement;

    /// Answers the end of an endpoint that was known, or was not.
    fn acknowledge_end(&self, was_known: bool) -> Acknowledgement;
}
