//! Answers on their way to the caller.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_web::body::{BodySize, MessageBody};
use actix_web::error::PayloadError;
use actix_web::http::header::{self, HeaderMap};
use actix_web::http::{Method, StatusCode};
use awc::ClientResponse;
use bytes::Bytes;
use futures_util::Stream;
use tokio::time::{Sleep, sleep};

use crate::exchange::has_no_body;
use crate::gate::Slot;
use crate::header::end_to_end;
use crate::node::Entry;
use crate::peers::Visit;

/// An answer whose head has come.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) flow: Flow,
}

impl Answer {
    /// Creates an answer to a request with `method`; its body must not stand still for `idle_max`.
    pub(crate) fn new(response: ClientResponse, method: &Method, idle_max: Duration) -> Self {
        let status = response.status();
        let length = response
            .headers()
            .get(header::CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok()?.parse().ok());
        let is_chunked = response.headers().contains_key(header::TRANSFER_ENCODING);
        let is_empty = has_no_body(status, method);
        Self {
            status,
            headers: end_to_end(response.headers()),
            flow: Flow {
                size: match length {
                    Some(length) => BodySize::Sized(length),
                    None if is_empty => BodySize::None,
                    None => BodySize::Stream,
                },
                left: length.filter(|_| !is_empty),
                ends_by_close: length.is_none() && !is_chunked,
                is_empty,
                response,
                idle: None,
                idle_max,
                held: Held::default(),
            },
        }
    }
}

/// What is held until an answer has gone through.
#[derive(Default)]
pub(crate) struct Held {
    /// The place at the backend server.
    pub(crate) slot: Option<Slot>,
    /// The call as the caller's node counts it.
    pub(crate) visit: Option<Visit>,
    /// The call as a stopping node waits for it.
    pub(crate) entry: Option<Entry>,
}

/// The body of an answer, passed through; a cut is an error, which aborts the connection to the
/// caller.
pub(crate) struct Flow {
    size: BodySize,
    left: Option<u64>,
    ends_by_close: bool,
    is_empty: bool,
    response: ClientResponse,
    idle: Option<Pin<Box<Sleep>>>,
    idle_max: Duration,
    held: Held,
}

impl Flow {
    pub(crate) fn hold_slot(&mut self, slot: Slot) {
        self.held.slot = Some(slot);
    }

    pub(crate) fn hold_visit(&mut self, visit: Visit) {
        self.held.visit = Some(visit);
    }

    pub(crate) fn hold_entry(&mut self, entry: Entry) {
        self.held.entry = Some(entry);
    }

    fn finish(&mut self) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(slot) = self.held.slot.take() {
            slot.finish();
        }
        self.held.visit.take();
        self.held.entry.take();
        Poll::Ready(None)
    }

    fn take(&mut self, chunk: Bytes) -> Poll<Option<io::Result<Bytes>>> {
        self.idle = None;
        if let Some(left) = self.left {
            let Some(left) = left.checked_sub(chunk.len() as u64) else {
                return cut("the answer is longer than it says");
            };
            self.left = Some(left);
        }
        Poll::Ready(Some(Ok(chunk)))
    }

    fn wait(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let idle_max = self.idle_max;
        let idle = self.idle.get_or_insert_with(|| Box::pin(sleep(idle_max)));
        match idle.as_mut().poll(cx) {
            Poll::Ready(()) => cut("the answer stands still"),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl MessageBody for Flow {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        self.size
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        if self.is_empty {
            return self.finish();
        }
        match Pin::new(&mut self.response).poll_next(cx) {
            Poll::Ready(Some(Ok(chunk))) => self.take(chunk),
            Poll::Ready(Some(Err(error))) if self.ends_by_close && is_end(&error) => self.finish(),
            Poll::Ready(Some(Err(error))) => Poll::Ready(Some(Err(io::Error::other(error)))),
            Poll::Ready(None) if self.left.is_none_or(|left| left == 0) => self.finish(),
            Poll::Ready(None) => cut("the answer is shorter than it says"),
            Poll::Pending => self.wait(cx),
        }
    }
}

fn is_end(error: &PayloadError) -> bool {
    matches!(error, PayloadError::Io(error) if error.kind() == io::ErrorKind::UnexpectedEof)
}

fn cut(message: &'static str) -> Poll<Option<io::Result<Bytes>>> {
    Poll::Ready(Some(Err(io::Error::other(message))))
}
