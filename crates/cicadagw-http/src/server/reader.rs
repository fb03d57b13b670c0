//! Requests as they come in.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::ReadHalf;
use tokio::time::{Instant, timeout};

use super::accept::End;
use super::queue::{Pending, Queue, Source};
use super::{Refusal, Service};
use crate::body::{self, Body};
use crate::parse::{self, Request};
use crate::{Decoder, Error, Framing, Step, Task};

/// The largest body that is read before its request is handed on, in bytes.
const SHORT_BODY: u64 = 64 << 10;

/// How much room there is for what is read at once, in bytes.
const READ: usize = 4 << 10;

/// Reads the requests of a connection and hands them on.
pub(super) struct Reader<'c, S> {
    pub(super) buffer: BytesMut,
    pub(super) half: ReadHalf<'c>,
    pub(super) queue: &'c Queue,
    pub(super) service: &'c Rc<S>,
}

/// Why there is no further request.
enum NoRequest {
    /// The client left.
    Gone,
    /// The connection was idle for too long.
    Idle,
    /// What came is refused.
    Refused(Refusal),
}

impl<S: Service> Reader<'_, S> {
    /// Reads until the client leaves or the connection is over.
    pub(super) async fn run(mut self) -> End {
        loop {
            self.queue.room().await;
            let request = match self.head().await {
                Ok(head) => self.take(head).await,
                Err(no_request) => Err(no_request),
            };
            match request {
                Ok(true) => {}
                Ok(false) => return self.wait_for_end().await,
                Err(NoRequest::Gone) => return End::Gone,
                Err(NoRequest::Idle) => return End::Closed,
                Err(NoRequest::Refused(refusal)) => {
                    self.queue.push(Pending {
                        reply: Source::Ready(Box::new(self.service.refuse(refusal))),
                        is_head: false,
                        closes: true,
                        is_spoiled: Rc::default(),
                    });
                    return self.wait_for_end().await;
                }
            }
        }
    }

    /// Reads the head of the next request.
    async fn head(&mut self) -> Result<Request, NoRequest> {
        let mut begin = Instant::now();
        loop {
            let limits = self.service.limits();
            if !self.buffer.is_empty()
                && let Some(head) =
                    parse::request(&mut self.buffer, limits.head).map_err(refused)?
            {
                return Ok(head);
            }
            let is_begun = !self.buffer.is_empty();
            let limit = if is_begun {
                limits.header_timeout
            } else {
                limits.idle_timeout
            };
            let left = limit.saturating_sub(begin.elapsed());
            match timeout(left, self.fill()).await {
                Ok(filled) => {
                    filled?;
                    if !is_begun {
                        begin = Instant::now();
                    }
                }
                Err(_) if is_begun => return Err(NoRequest::Refused(Refusal::TooSlow)),
                Err(_) if self.queue.open.get() > 0 => begin = Instant::now(),
                // The limit may have been raised meanwhile.
                Err(_) if begin.elapsed() < self.service.limits().idle_timeout => {}
                Err(_) => return Err(NoRequest::Idle),
            }
        }
    }

    /// Hands a request on and reads its body; tells whether further requests may follow.
    async fn take(&mut self, head: Request) -> Result<bool, NoRequest> {
        let keep_alive = head.keep_alive;
        if expects_continue(&head) && self.buffer.is_empty() && self.queue.open.get() == 0 {
            self.queue.ask_on();
        }
        match head.framing {
            Framing::Empty | Framing::Close => self.hand_on(head, Body::Empty, Rc::default()),
            Framing::Length(length) if length <= SHORT_BODY => {
                let body = self.short_body(length).await?;
                self.hand_on(head, Body::Buffered(body), Rc::default());
            }
            framing => return self.long_body(head, framing).await,
        }
        Ok(keep_alive)
    }

    async fn short_body(&mut self, length: u64) -> Result<Bytes, NoRequest> {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        let begin = Instant::now();
        while self.buffer.len() < length {
            let left = self.service.limits().header_timeout;
            let left = left.saturating_sub(begin.elapsed());
            let filled = timeout(left, self.fill()).await;
            filled.map_err(|_| NoRequest::Refused(Refusal::TooSlow))??;
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    async fn long_body(&mut self, head: Request, framing: Framing) -> Result<bool, NoRequest> {
        let (sender, parts) = body::channel();
        let length = match framing {
            Framing::Length(length) => Some(length),
            _ => None,
        };
        let is_spoiled = Rc::new(Cell::new(false));
        let keep_alive = head.keep_alive;
        self.hand_on(head, Body::Streamed { length, parts }, is_spoiled.clone());
        let mut decoder = Decoder::new(framing);
        let mut room = self.service.limits().body;
        loop {
            match decoder.step(&mut self.buffer) {
                Ok(Step::Data(data)) => {
                    let Some(left) = room.checked_sub(data.len() as u64) else {
                        is_spoiled.set(true);
                        return Ok(false);
                    };
                    room = left;
                    if sender.send(data).await.is_err() {
                        is_spoiled.set(!decoder.is_done());
                        return Ok(keep_alive && decoder.is_done());
                    }
                }
                Ok(Step::Done) => {
                    // One who has answered without it does not need its end.
                    sender.end().await.ok();
                    return Ok(keep_alive);
                }
                Ok(Step::More) => tokio::select! {
                    filled = self.fill() => filled?,
                    () = sender.unwanted() => {
                        is_spoiled.set(true);
                        return Ok(false);
                    }
                },
                Err(_) => {
                    is_spoiled.set(true);
                    return Ok(false);
                }
            }
        }
    }

    fn hand_on(&self, head: Request, body: Body, is_spoiled: Rc<Cell<bool>>) {
        let is_head = &head.method[..] == b"HEAD";
        let closes = !head.keep_alive;
        let task = Task::spawn(self.service.clone().handle(head, body));
        self.queue.push(Pending {
            reply: Source::Task(task),
            is_head,
            closes,
            is_spoiled,
        });
    }

    async fn fill(&mut self) -> Result<(), NoRequest> {
        self.buffer.reserve(READ);
        match self.half.read_buf(&mut self.buffer).await {
            Ok(1..) => Ok(()),
            Ok(0) | Err(_) => Err(NoRequest::Gone),
        }
    }

    /// Waits until the client leaves; whatever it sends is not read as a request.
    async fn wait_for_end(mut self) -> End {
        loop {
            self.buffer.clear();
            if self.fill().await.is_err() {
                return End::Gone;
            }
        }
    }
}

fn refused(error: Error) -> NoRequest {
    NoRequest::Refused(match error {
        Error::Malformed => Refusal::Malformed,
        Error::TooLarge => Refusal::HeadTooLarge,
    })
}

fn expects_continue(head: &Request) -> bool {
    head.fields
        .get("expect")
        .is_some_and(|value| value.eq_ignore_ascii_case(b"100-continue"))
}
