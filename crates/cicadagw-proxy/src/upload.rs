//! Request bodies on their way to a backend server.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_web::body::{BodySize, MessageBody};
use actix_web::dev::Payload;
use bytes::{Bytes, BytesMut};
use cicadagw_call::Reason;
use futures_util::{Stream, StreamExt};

use crate::Limits;
use crate::request::Request;

/// The body of a request: the beginning, which is held back for another attempt, and the rest,
/// which is passed through once.
pub(crate) struct Upload {
    beginning: Bytes,
    rest: RefCell<Option<Payload>>,
    is_rest_touched: Cell<bool>,
    size: BodySize,
    /// How many bytes the rest may have.
    room: Cell<u64>,
}

impl Upload {
    /// Takes in the beginning of the body of `request`, or all of it when it is short.
    ///
    /// # Errors
    ///
    /// [`Reason::BodyLimit`] when the body is too large, [`Reason::BadRequest`] when it is cut.
    pub(crate) async fn read(
        request: &Request,
        payload: Payload,
        limits: &Limits,
    ) -> Result<Rc<Self>, Reason> {
        let size = match request.size {
            Some(size) if size > limits.body => return Err(Reason::BodyLimit),
            Some(size) => BodySize::Sized(size.get()),
            None if request.is_chunked => BodySize::Stream,
            None => return Ok(Rc::new(Self::whole(Bytes::new(), BodySize::None))),
        };
        let (beginning, rest) = hold_back(payload, limits).await?;
        if rest.is_none() {
            let size = BodySize::Sized(beginning.len() as u64);
            return Ok(Rc::new(Self::whole(beginning, size)));
        }
        let room = limits.body.get().saturating_sub(beginning.len() as u64);
        Ok(Rc::new(Self {
            beginning,
            rest: RefCell::new(rest),
            is_rest_touched: Cell::new(false),
            size,
            room: Cell::new(room),
        }))
    }

    /// Tells whether the whole body is still there to be sent again.
    pub(crate) fn is_replayable(&self) -> bool {
        !self.is_rest_touched.get()
    }

    /// Returns the body for one attempt.
    pub(crate) fn body(self: &Rc<Self>) -> Body {
        Body {
            upload: self.clone(),
            is_begun: false,
        }
    }

    fn whole(bytes: Bytes, size: BodySize) -> Self {
        Self {
            beginning: bytes,
            rest: RefCell::new(None),
            is_rest_touched: Cell::new(false),
            size,
            room: Cell::new(0),
        }
    }

    fn poll_rest(&self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let mut rest = self.rest.borrow_mut();
        let Some(payload) = rest.as_mut() else {
            return Poll::Ready(None);
        };
        self.is_rest_touched.set(true);
        match Pin::new(payload).poll_next(cx) {
            Poll::Ready(Some(Ok(chunk))) => Poll::Ready(Some(self.take_room(chunk))),
            Poll::Ready(Some(Err(error))) => Poll::Ready(Some(Err(io::Error::other(error)))),
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    }

    fn take_room(&self, chunk: Bytes) -> io::Result<Bytes> {
        let left = self.room.get().checked_sub(chunk.len() as u64);
        let left = left.ok_or_else(|| io::Error::other("the body is too large"))?;
        self.room.set(left);
        Ok(chunk)
    }
}

/// Takes in the beginning of a body, and returns the rest when there may be one.
async fn hold_back(
    mut payload: Payload,
    limits: &Limits,
) -> Result<(Bytes, Option<Payload>), Reason> {
    let mut beginning = BytesMut::new();
    while beginning.len() as u64 <= limits.replay.get() {
        match payload.next().await {
            Some(Ok(chunk)) => beginning.extend_from_slice(&chunk),
            Some(Err(_)) => return Err(Reason::BadRequest),
            None => return Ok((beginning.freeze(), None)),
        }
    }
    Ok((beginning.freeze(), Some(payload)))
}

/// The body of one attempt.
pub(crate) struct Body {
    upload: Rc<Upload>,
    is_begun: bool,
}

impl MessageBody for Body {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        self.upload.size
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        if !self.is_begun {
            self.is_begun = true;
            if !self.upload.beginning.is_empty() {
                return Poll::Ready(Some(Ok(self.upload.beginning.clone())));
            }
        }
        self.upload.poll_rest(cx)
    }
}
