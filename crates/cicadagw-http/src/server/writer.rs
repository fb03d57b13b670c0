//! Writes the responses of a connection.

use std::future::{Future, pending};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Buf;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;
use tokio::time::{sleep, timeout};

use super::accept::End;
use super::queue::{Next, Queue, Source};
use super::{Reply, Service};
use crate::body::{Body, Truncated};
use crate::encode::response_head;
use crate::send::write_part;
use crate::{Framing, Task};

/// Writes the responses of a connection in the order of their requests.
pub(super) struct Writer<'c, S> {
    pub(super) half: WriteHalf<'c>,
    pub(super) queue: &'c Queue,
    pub(super) service: &'c Rc<S>,
}

impl<S: Service> Writer<'_, S> {
    /// Writes until the last response is sent or writing fails.
    pub(super) async fn run(mut self) -> End {
        loop {
            let pending = match self.queue.pop().await {
                Next::Response(pending) => *pending,
                Next::Continue => {
                    let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
                    if self.half.write_all(interim).await.is_err() {
                        return End::Disconnected;
                    }
                    continue;
                }
            };
            let reply = match pending.reply {
                Source::Ready(reply) => *reply,
                Source::Task(task) => match self.await_reply(task).await {
                    Some(reply) => reply,
                    None => return End::Disconnected,
                },
            };
            self.queue.record_status(reply.status);
            // Requests after this one may already be running; their responses are written before
            // the connection closes.
            let is_last = self.queue.pending.borrow().is_empty();
            let closes = pending.closes_after
                || pending.is_body_abandoned.get()
                || (self.service.is_draining() && is_last);
            if closes {
                // From the head on, the client takes what it sends as not read.
                self.queue.close();
            }
            let held = pending.held;
            let written = self.write(reply, pending.is_head, closes).await;
            drop(held);
            self.queue.finish();
            match written {
                Err(_) => return End::Disconnected,
                Ok(()) if closes => return End::Closed,
                Ok(()) => {}
            }
        }
    }

    /// Waits for a response; sends an interim `102 Processing` if it takes longer than the
    /// service's interim response delay.
    async fn await_reply(&mut self, mut task: Task<Reply>) -> Option<Reply> {
        let delay = self.service.interim_response_delay();
        let send_interim = async {
            match delay {
                Some(after) => sleep(after).await,
                None => pending().await,
            }
        };
        let reply = tokio::select! {
            biased;
            reply = &mut task => reply,
            () = send_interim => {
                self.half.write_all(b"HTTP/1.1 102 Processing\r\n\r\n").await.ok()?;
                task.await
            }
        };
        reply
            .map_err(|error| log::error!(error:%; "a request handler task failed"))
            .ok()
    }

    async fn write(&mut self, reply: Reply, is_head: bool, closes: bool) -> Result<(), WriteError> {
        let framing = match (reply.content_length, reply.body.framing()) {
            (Some(length), _) => Framing::Length(length),
            (None, framing) => framing,
        };
        let head = response_head(reply.status, &reply.fields, framing, closes);
        let limit = reply.write_timeout;
        let _held = reply.held;
        match reply.body {
            _ if is_head => self.write_all(head, limit).await,
            Body::Empty => self.write_all(head, limit).await,
            Body::Buffered(bytes) => self.write_all(head.chain(bytes), limit).await,
            Body::Streamed { mut parts, .. } => {
                self.write_all(head, limit).await?;
                let is_chunked = framing == Framing::Chunked;
                while let Some(data) = parts.next().await? {
                    self.queue.entry.set_writing(true);
                    let writing = write_part(&mut self.half, data, is_chunked);
                    let written = with_timeout(writing, limit).await;
                    self.queue.entry.set_writing(false);
                    written?;
                }
                if is_chunked {
                    self.write_all(&b"0\r\n\r\n"[..], limit).await?;
                }
                Ok(())
            }
        }
    }

    async fn write_all(
        &mut self,
        mut bytes: impl Buf,
        limit: Option<Duration>,
    ) -> Result<(), WriteError> {
        self.queue.entry.set_writing(true);
        let written = with_timeout(self.half.write_all_buf(&mut bytes), limit).await;
        self.queue.entry.set_writing(false);
        written
    }
}

/// The reason why a response was not written completely. The connection is then closed, so that the
/// client sees a truncated response.
#[derive(Debug)]
enum WriteError {
    /// The response body ended before it was complete.
    Truncated,
    /// The client accepted no data within the write timeout.
    Stalled,
    /// Writing to the connection failed.
    Failed,
}

impl From<Truncated> for WriteError {
    fn from(_: Truncated) -> Self {
        Self::Truncated
    }
}

async fn with_timeout(
    writing: impl Future<Output = io::Result<()>>,
    limit: Option<Duration>,
) -> Result<(), WriteError> {
    let Some(limit) = limit else {
        return writing.await.map_err(|_| WriteError::Failed);
    };
    let written = timeout(limit, writing).await;
    let written = written.map_err(|_| WriteError::Stalled)?;
    written.map_err(|_| WriteError::Failed)
}
