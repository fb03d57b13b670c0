//! Answers on their way to the caller.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use actix_web::body::{BodySize, MessageBody};
use actix_web::error::PayloadError;
use actix_web::http::header::{self, HeaderMap};
use actix_web::http::{Method, StatusCode};
use awc::ClientResponse;
use bytes::Bytes;
use futures_util::Stream;
use tokio::time::{Instant, Sleep, sleep};

use crate::exchange::has_no_body;
use crate::gate::Slot;
use crate::header::end_to_end;
use crate::node::Entry;
use crate::peers::Visit;

/// The largest body that always finds room on its way to the caller, in bytes.
const SHORT: u64 = 64 << 10;

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
        let headers = end_to_end(response.headers());
        let passage = Passage {
            left: length.filter(|_| !is_empty),
            ends_by_close: length.is_none() && !is_chunked,
            response,
            moved: Instant::now(),
            idle_max,
            held: Held::default(),
        };
        Self {
            status,
            headers,
            flow: Flow {
                size: match length {
                    Some(length) => BodySize::Sized(length),
                    None if is_empty => BodySize::None,
                    None => BodySize::Stream,
                },
                is_empty,
                idle: None,
                passage: Rc::new(RefCell::new(Some(passage))),
            },
        }
    }
}

/// What is held until an answer has gone through.
#[derive(Default)]
struct Held {
    /// The place at the backend server.
    slot: Option<Slot>,
    /// The call as the caller's node counts it.
    visit: Option<Visit>,
    /// The call as a stopping node waits for it.
    entry: Option<Entry>,
}

/// The body of an answer, passed through; a cut is an error, which aborts the connection to the
/// caller.
pub(crate) struct Flow {
    size: BodySize,
    is_empty: bool,
    idle: Option<Pin<Box<Sleep>>>,
    /// None once it is over.
    passage: Rc<RefCell<Option<Passage>>>,
}

/// An answer that is passing through.
struct Passage {
    left: Option<u64>,
    ends_by_close: bool,
    response: ClientResponse,
    /// When something last moved.
    moved: Instant,
    idle_max: Duration,
    held: Held,
}

/// Watches an answer whose caller may stop reading.
pub(crate) struct Watch(Weak<RefCell<Option<Passage>>>);

impl Watch {
    /// Ends the passage if it has stood still for too long; tells whether it goes on.
    pub(crate) fn check(&self, now: Instant) -> bool {
        let Some(passage) = self.0.upgrade() else {
            return false;
        };
        let is_stalled = |held: &Passage| now.duration_since(held.moved) > held.idle_max;
        let stalled = passage.borrow_mut().take_if(|held| is_stalled(held));
        if stalled.is_some() {
            log::debug!("an answer was given up: its caller does not read it");
        }
        passage.borrow().is_some()
    }
}

impl Flow {
    pub(crate) fn hold_slot(&self, slot: Slot) {
        if let Some(passage) = &mut *self.passage.borrow_mut() {
            passage.held.slot = Some(slot);
        }
    }

    pub(crate) fn hold_visit(&self, visit: Visit) {
        if let Some(passage) = &mut *self.passage.borrow_mut() {
            passage.held.visit = Some(visit);
        }
    }

    pub(crate) fn hold_entry(&self, entry: Entry) {
        if let Some(passage) = &mut *self.passage.borrow_mut() {
            passage.held.entry = Some(entry);
        }
    }

    /// Returns a watch, unless the answer is so short that it goes out whatever the caller does.
    pub(crate) fn watch(&self) -> Option<Watch> {
        match self.size {
            BodySize::None => None,
            BodySize::Sized(size) if size <= SHORT => None,
            _ => Some(Watch(Rc::downgrade(&self.passage))),
        }
    }

    /// Lets go of all that was held for the answer.
    fn finish(&self) -> Poll<Option<io::Result<Bytes>>> {
        let passage = self.passage.borrow_mut().take();
        if let Some(slot) = passage.and_then(|passage| passage.held.slot) {
            slot.finish();
        }
        Poll::Ready(None)
    }

    fn wait(
        &mut self,
        cx: &mut Context<'_>,
        idle_max: Duration,
    ) -> Poll<Option<io::Result<Bytes>>> {
        let idle = self.idle.get_or_insert_with(|| Box::pin(sleep(idle_max)));
        match idle.as_mut().poll(cx) {
            Poll::Ready(()) => cut("the answer stands still"),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Passage {
    fn take(&mut self, chunk: Bytes) -> Poll<Option<io::Result<Bytes>>> {
        self.moved = Instant::now();
        if let Some(left) = self.left {
            let Some(left) = left.checked_sub(chunk.len() as u64) else {
                return cut("the answer is longer than it says");
            };
            self.left = Some(left);
        }
        Poll::Ready(Some(Ok(chunk)))
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
        let shared = self.passage.clone();
        let mut held = shared.borrow_mut();
        let Some(passage) = &mut *held else {
            return cut("the answer was given up");
        };
        let polled = Pin::new(&mut passage.response).poll_next(cx);
        match polled {
            Poll::Ready(Some(Ok(chunk))) => {
                self.idle = None;
                passage.take(chunk)
            }
            Poll::Ready(Some(Err(error))) if passage.ends_by_close && is_end(&error) => {
                drop(held);
                self.finish()
            }
            Poll::Ready(Some(Err(error))) => Poll::Ready(Some(Err(io::Error::other(error)))),
            Poll::Ready(None) if passage.left.is_none_or(|left| left == 0) => {
                drop(held);
                self.finish()
            }
            Poll::Ready(None) => cut("the answer is shorter than it says"),
            Poll::Pending => {
                let idle_max = passage.idle_max;
                self.wait(cx, idle_max)
            }
        }
    }
}

fn is_end(error: &PayloadError) -> bool {
    matches!(error, PayloadError::Io(error) if error.kind() == io::ErrorKind::UnexpectedEof)
}

fn cut(message: &'static str) -> Poll<Option<io::Result<Bytes>>> {
    Poll::Ready(Some(Err(io::Error::other(message))))
}
