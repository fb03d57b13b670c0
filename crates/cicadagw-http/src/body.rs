//! Message bodies, either buffered or streamed through a bounded channel.

use std::fmt;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::Framing;

/// The number of parts of a streamed body that are queued between the receiving and the sending
/// connection. A part is the result of one read, at most 16 KiB.
const PARTS_MAX: usize = 4;

/// The body of a request or response.
#[derive(Debug, Default)]
pub enum Body {
    /// There is no body.
    #[default]
    Empty,
    /// The complete body.
    Buffered(Bytes),
    /// A body that is received while it is forwarded.
    Streamed {
        /// The total length in bytes, if it is known.
        length: Option<u64>,
        /// The receiving end of the stream.
        parts: Receiver,
    },
}

impl Body {
    /// Returns the number of bytes that are held in memory; parts of a stream do not count.
    pub(crate) fn buffered_len(&self) -> usize {
        match self {
            Self::Buffered(bytes) => bytes.len(),
            Self::Empty | Self::Streamed { .. } => 0,
        }
    }

    /// Returns the framing of the body on the next hop.
    pub fn framing(&self) -> Framing {
        match self {
            Self::Empty => Framing::Empty,
            Self::Buffered(bytes) => Framing::Length(bytes.len() as u64),
            Self::Streamed { length, .. } => length.map_or(Framing::Chunked, Framing::Length),
        }
    }
}

/// The error that the body ended before it was complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Truncated;

impl fmt::Display for Truncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body ended before it was complete")
    }
}

impl std::error::Error for Truncated {}

/// The error that the receiver of the body was dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Closed;

/// A message in the channel of a streamed body.
#[derive(Debug)]
enum Part {
    /// The next bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// The sending end of a streamed body. The receiver sees a truncated body if this is dropped
/// without a call of [`Sender::end`].
#[derive(Debug)]
pub struct Sender(mpsc::Sender<Part>);

/// The receiving end of a streamed body.
#[derive(Debug)]
pub struct Receiver {
    parts: mpsc::Receiver<Part>,
    is_complete: bool,
}

/// Creates a streamed body.
pub fn channel() -> (Sender, Receiver) {
    let (sender, parts) = mpsc::channel(PARTS_MAX);
    let receiver = Receiver {
        parts,
        is_complete: false,
    };
    (Sender(sender), receiver)
}

impl Sender {
    /// Sends a part of the body; waits while the channel is full.
    ///
    /// # Errors
    ///
    /// Returns [`Closed`] when the receiver was dropped.
    pub async fn send(&self, data: Bytes) -> Result<(), Closed> {
        self.0.send(Part::Data(data)).await.map_err(|_| Closed)
    }

    /// Marks the body as complete.
    ///
    /// # Errors
    ///
    /// Returns [`Closed`] when the receiver was dropped.
    pub async fn end(self) -> Result<(), Closed> {
        self.0.send(Part::End).await.map_err(|_| Closed)
    }

    /// Waits until the receiver is dropped.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

impl Receiver {
    /// Returns the next part, or `None` once the body is complete.
    ///
    /// # Errors
    ///
    /// Returns [`Truncated`] when the sender was dropped before the body was complete.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Truncated> {
        if self.is_complete {
            return Ok(None);
        }
        match self.parts.recv().await {
            Some(Part::Data(data)) => Ok(Some(data)),
            Some(Part::End) => {
                self.is_complete = true;
                Ok(None)
            }
            None => Err(Truncated),
        }
    }
}
