//! Request bodies to be sent to a backend server.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use cicadagw_call::Reason;
use cicadagw_http::body::Receiver;
use cicadagw_http::ledger::Held;
use cicadagw_http::{Body, Framing, Ledger};

use crate::Limits;

/// A request body: the start, which is buffered for further attempts, and the rest, which is
/// streamed once.
#[derive(Debug)]
pub(crate) struct Upload {
    buffered: Bytes,
    /// The memory that `buffered` holds, unless the body was received before the call.
    _held: Option<Held>,
    stream: RefCell<Option<Receiver>>,
    is_stream_taken: Cell<bool>,
    framing: Framing,
}

impl Upload {
    /// Buffers the start of `body`, or all of a short body.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::BodyLimit`] when the body is too large, and [`Reason::BadRequest`] when it
    /// is truncated.
    pub(crate) async fn read(
        body: Body,
        limits: &Limits,
        ledger: &Rc<Ledger>,
    ) -> Result<Self, Reason> {
        let (length, parts) = match body {
            Body::Empty => return Ok(Self::from_buffered(Bytes::new(), Framing::Empty)),
            Body::Buffered(bytes) if bytes.len() as u64 > limits.body.get() => {
                return Err(Reason::BodyLimit);
            }
            Body::Buffered(bytes) => {
                let length = bytes.len() as u64;
                return Ok(Self::from_buffered(bytes, Framing::Length(length)));
            }
            Body::Streamed { length, parts } => (length, parts),
        };
        if length.is_some_and(|length| length > limits.body.get()) {
            return Err(Reason::BodyLimit);
        }
        let mut held = ledger.hold(0);
        let (buffered, stream) = buffer_start(parts, limits, ledger, &mut held).await?;
        if stream.is_none() {
            let length = buffered.len() as u64;
            let upload = Self::from_buffered(buffered, Framing::Length(length));
            return Ok(Self {
                _held: Some(held),
                ..upload
            });
        }
        Ok(Self {
            buffered,
            _held: Some(held),
            stream: RefCell::new(stream),
            is_stream_taken: Cell::new(false),
            framing: length.map_or(Framing::Chunked, Framing::Length),
        })
    }

    /// Returns whether the body can still be sent from its start.
    pub(crate) fn is_replayable(&self) -> bool {
        !self.is_stream_taken.get()
    }

    /// Returns the framing of the body on the next hop.
    pub(crate) const fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns the buffered start of the body.
    pub(crate) fn buffered(&self) -> Bytes {
        self.buffered.clone()
    }

    /// Takes the stream of the rest of the body, if there is one; only one attempt can get it.
    pub(crate) fn take_stream(&self) -> Option<Receiver> {
        let stream = self.stream.borrow_mut().take();
        if stream.is_some() {
            self.is_stream_taken.set(true);
        }
        stream
    }

    const fn from_buffered(bytes: Bytes, framing: Framing) -> Self {
        Self {
            buffered: bytes,
            _held: None,
            stream: RefCell::new(None),
            is_stream_taken: Cell::new(false),
            framing,
        }
    }
}

/// Buffers the start of a body; returns it, and the stream if the body may not be complete.
async fn buffer_start(
    mut parts: Receiver,
    limits: &Limits,
    ledger: &Ledger,
    held: &mut Held,
) -> Result<(Bytes, Option<Receiver>), Reason> {
    let mut buffered = BytesMut::new();
    while buffered.len() as u64 <= ledger.buffer_max(limits.replay.get()) {
        match parts.next().await {
            Ok(Some(part)) => {
                buffered.extend_from_slice(&part);
                held.set(buffered.capacity());
            }
            Ok(None) => return Ok((buffered.freeze(), None)),
            Err(_) => return Err(Reason::BadRequest),
        }
    }
    Ok((buffered.freeze(), Some(parts)))
}
