//! Answers as they go out.

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
use crate::body::{Body, Cut};
use crate::client::write_part;
use crate::encode::response_head;
use crate::{Framing, Task};

/// Writes the answers of a connection in the order of their requests.
pub(super) struct Writer<'c, S> {
    pub(super) half: WriteHalf<'c>,
    pub(super) queue: &'c Queue,
    pub(super) service: &'c Rc<S>,
}

impl<S: Service> Writer<'_, S> {
    /// Writes until the last answer is out or the client cannot be written to.
    pub(super) async fn run(mut self) -> End {
        loop {
            let pending = match self.queue.pop().await {
                Next::Answer(pending) => *pending,
                Next::Continue => {
                    let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
                    if self.half.write_all(interim).await.is_err() {
                        return End::Gone;
                    }
                    continue;
                }
            };
            let reply = match pending.reply {
                Source::Ready(reply) => *reply,
                Source::Task(task) => match self.confirmed(task).await {
                    Some(reply) => reply,
                    None => return End::Gone,
                },
            };
            // Requests behind this one may be running: they are answered before the connection closes.
            let is_last = self.queue.pending.borrow().is_empty();
            let closes = pending.closes
                || pending.is_spoiled.get()
                || (self.service.is_draining() && is_last);
            let written = self.write(reply, pending.is_head, closes).await;
            self.queue.finish();
            match written {
                Err(_) => return End::Gone,
                Ok(()) if closes => return End::Closed,
                Ok(()) => {}
            }
        }
    }

    /// Awaits an answer, and confirms in the meantime that the request has arrived.
    async fn confirmed(&mut self, mut task: Task<Reply>) -> Option<Reply> {
        let confirms = self.service.interim_response_delay();
        let confirm = async {
            match confirms {
                Some(after) => sleep(after).await,
                None => pending().await,
            }
        };
        let reply = tokio::select! {
            biased;
            reply = &mut task => reply,
            () = confirm => {
                self.half.write_all(b"HTTP/1.1 102 Processing\r\n\r\n").await.ok()?;
                task.await
            }
        };
        reply
            .map_err(|error| log::error!(error:%; "a request's task failed"))
            .ok()
    }

    async fn write(&mut self, reply: Reply, is_head: bool, closes: bool) -> Result<(), Unwritten> {
        let framing = match (reply.named_length, reply.body.framing()) {
            (Some(length), _) => Framing::Length(length),
            (None, framing) => framing,
        };
        let head = response_head(reply.status, &reply.fields, framing, closes);
        let limit = reply.stall_max;
        match reply.body {
            _ if is_head => self.write_all(head, limit).await,
            Body::Empty => self.write_all(head, limit).await,
            Body::Buffered(bytes) => self.write_all(head.chain(bytes), limit).await,
            Body::Streamed { mut parts, .. } => {
                self.write_all(head, limit).await?;
                let is_chunked = framing == Framing::Chunked;
                while let Some(data) = parts.next().await? {
                    let writing = write_part(&mut self.half, data, is_chunked);
                    stalled(writing, limit).await?;
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
    ) -> Result<(), Unwritten> {
        stalled(self.half.write_all_buf(&mut bytes), limit).await
    }
}

/// Why an answer was not written whole; the connection is closed, so that it does not look whole.
#[derive(Debug)]
enum Unwritten {
    Cut,
    Stalled,
    Failed,
}

impl From<Cut> for Unwritten {
    fn from(_: Cut) -> Self {
        Self::Cut
    }
}

async fn stalled(
    writing: impl Future<Output = io::Result<()>>,
    limit: Option<Duration>,
) -> Result<(), Unwritten> {
    let Some(limit) = limit else {
        return writing.await.map_err(|_| Unwritten::Failed);
    };
    let written = timeout(limit, writing).await;
    let written = written.map_err(|_| Unwritten::Stalled)?;
    written.map_err(|_| Unwritten::Failed)
}
