//! The interface between the server and the code that handles requests.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use crate::ledger::Held;
use crate::parse::Request;
use crate::{Body, Fields};

/// Limits on the size and duration of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The maximum size of a request body, in bytes.
    pub body: u64,
    /// The maximum size of a request head, in bytes.
    pub head: usize,
    /// The maximum time from the first byte to the end of a head, and of a body that is buffered.
    pub header_timeout: Duration,
    /// The maximum time without a request on a connection.
    pub idle_timeout: Duration,
}

/// The reason why a request is refused before it reaches the service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The request is not valid HTTP/1.1.
    Malformed,
    /// The request head exceeds its size limit.
    HeadTooLarge,
    /// The head or the buffered body did not arrive in time.
    TooSlow,
    /// The connections of the node hold too much memory.
    Overloaded,
}

/// A response for the server to write.
#[derive(Debug)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The header fields, without the framing fields.
    pub fields: Fields,
    /// The body.
    pub body: Body,
    /// The `content-length` of a response without a body, such as a response to HEAD.
    pub content_length: Option<u64>,
    /// The maximum time for which the client may not accept a part of the response; there is no
    /// limit if it is `None`.
    pub write_timeout: Option<Duration>,
    /// The memory that the body holds.
    pub held: Option<Held>,
}

impl Reply {
    /// Creates a response without a body.
    pub fn new(status: u16) -> Self {
        Self {
            status,
            fields: Fields::default(),
            body: Body::Buffered(Bytes::new()),
            content_length: None,
            write_timeout: None,
            held: None,
        }
    }
}

/// Handles the requests of a listener.
pub trait Service: 'static {
    /// Returns the current limits on requests.
    fn limits(&self) -> Limits;

    /// Handles a request. The future is dropped when the client disconnects.
    fn handle(self: Rc<Self>, head: Request, body: Body) -> impl Future<Output = Reply>;

    /// Returns the response to a request that is refused before it is handled.
    fn refuse(&self, refusal: Refusal) -> Reply;

    /// Returns whether the server is draining: connections are closed once no request is in flight.
    fn is_draining(&self) -> bool;

    /// Returns how long a request may run before the server sends an interim response; `None` sends
    /// none.
    fn interim_response_delay(&self) -> Option<Duration>;
}
