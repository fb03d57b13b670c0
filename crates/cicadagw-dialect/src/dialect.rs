//! The trait for dialects, with the requests that they decode and the responses that they encode.

use bytes::Bytes;
use cicadagw_call::Load;
use cicadagw_call::lifecycle::Announcement;
use cicadagw_finding::Findings;
use cicadagw_unit::id;
use cicadagw_unit::time::Span;

use crate::HeaderNames;

/// A registration request of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Registration {
    /// The backend server registers or renews its registration.
    Announce(Announcement),
    /// The backend server deregisters this endpoint, which then receives no new calls.
    Deregister {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// When the backend server started, in milliseconds since the Unix epoch, if it says so.
        started_ms: Option<u64>,
    },
}

/// The reason why a request to the announcement listener is not a registration request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DecodeError {
    /// The method or the path is not part of the protocol.
    NotFound,
    /// The path or the body is malformed; the findings say where and why.
    Malformed(Findings),
}

/// The response to a registration request, accepted or not.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Acknowledgement {
    /// The HTTP status code.
    pub status: u16,
    /// The body, in JSON.
    pub body: Bytes,
}

/// The protocol between a node and its callers and backend servers. An implementation is stateless
/// and only encodes and decodes.
pub trait Dialect: Send + Sync {
    /// Returns the names of the header fields.
    fn header_names(&self) -> &HeaderNames;

    /// Returns whether `path` is the readiness probe, which asks if the node accepts calls.
    fn is_readiness_path(&self, path: &str) -> bool;

    /// Returns the value of the `Retry-After` header for a wait of `wait`.
    fn retry_after(&self, wait: Span) -> String;

    /// Parses the load that a backend server reports with a response; `None` if it is malformed or
    /// the dialect has no such report.
    fn parse_load(&self, text: &str) -> Option<Load>;

    /// Decodes a registration request.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is not a registration request.
    fn decode_registration(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Registration, DecodeError>;

    /// Returns the response to an accepted announcement; `renew` is the time after which the next
    /// one is expected.
    fn acknowledge(&self, renew: Span) -> Acknowledgement;

    /// Returns the refusal of an announcement of an endpoint that is gone and whose id cannot be
    /// used again.
    fn refuse_gone(&self, endpoint: &id::Endpoint) -> Acknowledgement;

    /// Returns the response to a deregistration of an endpoint, which was registered if
    /// `was_known`.
    fn acknowledge_end(&self, was_known: bool) -> Acknowledgement;
}
