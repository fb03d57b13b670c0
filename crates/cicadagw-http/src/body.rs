//! Bodies on their way through a node, with bounded memory.

use std::fmt;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::Framing;

/// How many parts of a body wait between the two connections; a part is what one read gave, at
/// most 16 KiB.
const PARTS_MAX: usize = 4;

/// A body, or the promise of one.
#[derive(Debug, Default)]
pub enum Body {
    /// There is none.
    #[default]
    Empty,
    /// It is here.
    Buffered(Bytes),
    /// It comes in parts.
    Streamed {
        /// Its length in bytes, where it is known.
        length: Option<u64>,
        /// Where the parts come from.
        parts: Receiver,
    },
}

impl Body {
    /// Returns how the end of the body is told on the next hop.
    pub fn framing(&self) -> Framing {
        match self {
            Self::Empty => Framing::Empty,
            Self::Buffered(bytes) => Framing::Length(bytes.len() as u64),
            Self::Streamed { length, .. } => length.map_or(Framing::Chunked, Framing::Length),
        }
    }
}

/// Says that a body ended before it was whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body ended before it was whole")
    }
}

impl std::error::Error for Cut {}

/// Says that nobody takes the body any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unwanted;

#[derive(Debug)]
enum Part {
    Data(Bytes),
    End,
}

/// The end of a body that puts parts in; dropped before [`Sender::end`], the body is cut.
#[derive(Debug)]
pub struct Sender(mpsc::Sender<Part>);

/// The end of a body that takes parts out.
#[derive(Debug)]
pub struct Receiver {
    parts: mpsc::Receiver<Part>,
    is_whole: bool,
}

/// Creates a body that comes in parts.
pub fn channel() -> (Sender, Receiver) {
    let (sender, parts) = mpsc::channel(PARTS_MAX);
    let receiver = Receiver {
        parts,
        is_whole: false,
    };
    (Sender(sender), receiver)
}

impl Sender {
    /// Puts a part in, after waiting for room.
    ///
    /// # Errors
    ///
    /// [`Unwanted`] when the receiver is gone.
    pub async fn send(&self, data: Bytes) -> Result<(), Unwanted> {
        self.0.send(Part::Data(data)).await.map_err(|_| Unwanted)
    }

    /// Says that the body is whole.
    ///
    /// # Errors
    ///
    /// [`Unwanted`] when the receiver is gone.
    pub async fn end(self) -> Result<(), Unwanted> {
        self.0.send(Part::End).await.map_err(|_| Unwanted)
    }

    /// Waits until the receiver is gone.
    pub async fn unwanted(&self) {
        self.0.closed().await;
    }
}

impl Receiver {
    /// Takes the next part; `None` once the body is whole.
    ///
    /// # Errors
    ///
    /// [`Cut`] when there will be no more parts.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Cut> {
        if self.is_whole {
            return Ok(None);
        }
        match self.parts.recv().await {
            Some(Part::Data(data)) => Ok(Some(data)),
            Some(Part::End) => {
                self.is_whole = true;
                Ok(None)
            }
            None => Err(Cut),
        }
    }
}
