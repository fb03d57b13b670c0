//! What answers requests, and its edge.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use crate::parse::Request;
use crate::{Body, Fields};

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The largest body, in bytes.
    pub body: u64,
    /// The largest head, in bytes.
    pub head: usize,
    /// How long a head, or a short body, may take from its first byte.
    pub header_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// Why a request is refused before it is handed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// It cannot be read.
    Malformed,
    /// Its head is too large.
    HeadTooLarge,
    /// It took too long.
    TooSlow,
}

/// An answer.
#[derive(Debug)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The header fields, without the framing.
    pub fields: Fields,
    /// The body.
    pub body: Body,
    /// The length that a response without body names, as one to HEAD does.
    pub named_length: Option<u64>,
    /// How long the client may let a part of the body wait; without end if there is none.
    pub stall_max: Option<Duration>,
}

impl Reply {
    /// Creates an answer without body.
    pub fn new(status: u16) -> Self {
        Self {
            status,
            fields: Fields::default(),
            body: Body::Buffered(Bytes::new()),
            named_length: None,
            stall_max: None,
        }
    }
}

/// What answers the requests of a listener.
pub trait Service: 'static {
    /// Returns what a client may send.
    fn limits(&self) -> Limits;

    /// Answers a request; dropped when its client leaves.
    fn handle(self: Rc<Self>, head: Request, body: Body) -> impl Future<Output = Reply>;

    /// Answers a request that cannot be handed on.
    fn refuse(&self, refusal: Refusal) -> Reply;

    /// Tells whether connections are to be closed once they have nothing under way.
    fn is_draining(&self) -> bool;

    /// Returns after how long a request that still runs is confirmed by an interim response; never
    /// if there is none.
    fn interim_response_delay(&self) -> Option<Duration>;
}
