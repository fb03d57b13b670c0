//! Reading of the head of the expected response.

use std::cell::Cell;
use std::io;

use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::ReadHalf;

use crate::client::{Loss, READ_BYTES, lift_silence_bound};
use crate::lifecycle::{Event, State, step};
use crate::parse::{self, Response as ResponseHead};
use crate::{Decoder, Framing, Step};

/// The maximum size of a response head, in bytes.
const HEAD_BYTES_MAX: usize = 64 << 10;

/// The maximum size of a stale response's body that is skipped, in bytes.
const STALE_BODY_BYTES_MAX: usize = 1 << 20;

/// The maximum number of interim and stale responses that are skipped before the expected one. A
/// server that sends more is faulty and may never send it.
const SKIPPED_RESPONSES_MAX: usize = 32;

/// Reads a response head.
pub(crate) struct HeadReader<'h> {
    pub(crate) buffer: &'h mut BytesMut,
    pub(crate) state: &'h mut State,
    pub(crate) method: &'h [u8],
    pub(crate) has_responded: &'h Cell<bool>,
    /// Whether the body of the request is long; see [`Framing::is_long`].
    pub(crate) is_long: bool,
}

impl HeadReader<'_> {
    /// Reads up to the head of the expected response, skipping interim and stale responses.
    pub(crate) async fn read(
        &mut self,
        reader: &mut ReadHalf<'_>,
        is_ours: impl Fn(&ResponseHead) -> bool,
    ) -> Result<ResponseHead, Loss> {
        for _ in 0..=SKIPPED_RESPONSES_MAX {
            let head = self.next(reader).await?;
            self.has_responded.set(true);
            if self.is_long {
                lift_silence_bound(reader.as_ref());
            }
            if (100..200).contains(&head.status) {
                if head.status == 101 {
                    return Err(self.mark_unusable());
                }
                continue;
            }
            if is_ours(&head) {
                *self.state = step(*self.state, Event::Head, false);
                return Ok(head);
            }
            *self.state = step(*self.state, Event::Stale, false);
            self.skip(reader, head.framing).await?;
        }
        Err(self.mark_unusable())
    }

    /// Reads the next response head, which may be interim or stale.
    async fn next(&mut self, reader: &mut ReadHalf<'_>) -> Result<ResponseHead, Loss> {
        loop {
            match parse::response(self.buffer, self.method, HEAD_BYTES_MAX) {
                Ok(Some(head)) => return Ok(head),
                Ok(None) => self.fill(reader).await?,
                Err(_) => return Err(self.mark_unusable()),
            }
        }
    }

    /// Skips the body of a stale response.
    async fn skip(&mut self, reader: &mut ReadHalf<'_>, framing: Framing) -> Result<(), Loss> {
        if framing == Framing::Close {
            return Err(self.mark_unusable());
        }
        let mut decoder = Decoder::new(framing);
        let mut skipped = 0;
        loop {
            match decoder.step(self.buffer) {
                Ok(Step::Done) => return Ok(()),
                Ok(Step::Data(data)) if skipped + data.len() <= STALE_BODY_BYTES_MAX => {
                    skipped += data.len();
                }
                Ok(Step::More) => self.fill(reader).await?,
                Ok(Step::Data(_)) | Err(_) => return Err(self.mark_unusable()),
            }
        }
    }

    /// Receives more bytes; fails when the connection ends.
    async fn fill(&mut self, reader: &mut (impl AsyncReadExt + Unpin)) -> Result<(), Loss> {
        self.buffer.reserve(READ_BYTES);
        let read = reader.read_buf(self.buffer).await;
        if let Ok(1..) = read {
            return Ok(());
        }
        *self.state = step(*self.state, Event::Broken, false);
        if read.is_err_and(|error| error.kind() == io::ErrorKind::TimedOut) {
            return Err(Loss::Silent);
        }
        // Buffered bytes belong to an incomplete head or body, so the connection did not end
        // between two messages.
        Err(if self.buffer.is_empty() {
            Loss::Ended
        } else {
            Loss::Unusable
        })
    }

    /// Moves the connection to `unusable`, and returns the loss to report.
    fn mark_unusable(&mut self) -> Loss {
        *self.state = step(*self.state, Event::Broken, false);
        Loss::Unusable
    }
}
