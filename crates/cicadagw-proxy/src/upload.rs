//! Request bodies on their way to a backend server.

use std::cell::{Cell, RefCell};

use bytes::{Bytes, BytesMut};
use cicadagw_call::Reason;
use cicadagw_http::body::Receiver;
use cicadagw_http::{Body, Framing};

use crate::Limits;

/// The body of a request: the beginning, which is held back for another attempt, and the rest,
/// which is passed through once.
#[derive(Debug)]
pub(crate) struct Upload {
    beginning: Bytes,
    rest: RefCell<Option<Receiver>>,
    is_rest_touched: Cell<bool>,
    framing: Framing,
}

impl Upload {
    /// Takes in the beginning of `body`, or all of it when it is short.
    ///
    /// # Errors
    ///
    /// [`Reason::BodyLimit`] when the body is too large, [`Reason::BadRequest`] when it is cut.
    pub(crate) async fn read(body: Body, limits: &Limits) -> Result<Self, Reason> {
        let (length, parts) = match body {
            Body::Empty => return Ok(Self::whole(Bytes::new(), Framing::Empty)),
            Body::Buffered(bytes) if bytes.len() as u64 > limits.body.get() => {
                return Err(Reason::BodyLimit);
            }
            Body::Buffered(bytes) => {
                let length = bytes.len() as u64;
                return Ok(Self::whole(bytes, Framing::Length(length)));
            }
            Body::Streamed { length, parts } => (length, parts),
        };
        if length.is_some_and(|length| length > limits.body.get()) {
            return Err(Reason::BodyLimit);
        }
        let (beginning, rest) = hold_back(parts, limits).await?;
        if rest.is_none() {
            let length = beginning.len() as u64;
            return Ok(Self::whole(beginning, Framing::Length(length)));
        }
        Ok(Self {
            beginning,
            rest: RefCell::new(rest),
            is_rest_touched: Cell::new(false),
            framing: length.map_or(Framing::Chunked, Framing::Length),
        })
    }

    /// Tells whether the whole body is still there to be sent again.
    pub(crate) fn is_replayable(&self) -> bool {
        !self.is_rest_touched.get()
    }

    /// Returns how the body is framed on the next hop.
    pub(crate) const fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns the beginning of the body.
    pub(crate) fn beginning(&self) -> Bytes {
        self.beginning.clone()
    }

    /// Returns the rest of the body, if there is one, for the one attempt that gets it.
    pub(crate) fn take_rest(&self) -> Option<Receiver> {
        let rest = self.rest.borrow_mut().take();
        if rest.is_some() {
            self.is_rest_touched.set(true);
        }
        rest
    }

    const fn whole(bytes: Bytes, framing: Framing) -> Self {
        Self {
            beginning: bytes,
            rest: RefCell::new(None),
            is_rest_touched: Cell::new(false),
            framing,
        }
    }
}

/// Takes in the beginning of a body, and returns the rest when there may be one.
async fn hold_back(
    mut parts: Receiver,
    limits: &Limits,
) -> Result<(Bytes, Option<Receiver>), Reason> {
    let mut beginning = BytesMut::new();
    while beginning.len() as u64 <= limits.replay.get() {
        match parts.next().await {
            Ok(Some(part)) => beginning.extend_from_slice(&part),
            Ok(None) => return Ok((beginning.freeze(), None)),
            Err(_) => return Err(Reason::BadRequest),
        }
    }
    Ok((beginning.freeze(), Some(parts)))
}
