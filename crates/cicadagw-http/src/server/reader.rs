//! Reads the requests of a connection.

use std::cell::Cell;
use std::io;
use std::pin::pin;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use tokio::net::tcp::ReadHalf;
use tokio::task::coop::consume_budget;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::accept::End;
use super::queue::{Pending, Queue, Source};
use super::standing::Standing;
use super::{Connections, Refusal, Service, backoff};
use crate::body::{self, Body};
use crate::ledger::Held;
use crate::parse::{self, Request};
use crate::{Decoder, Error, Framing, Step, Task};

/// The maximum length of a request body that is buffered before the service is called, in bytes.
const BUFFERED_BODY_BYTES_MAX: u64 = 64 << 10;

/// The buffer space reserved for each read, in bytes.
const READ_BYTES: usize = 4 << 10;

/// The memory that is counted at least for a request in flight besides its body, in bytes.
const REQUEST_BYTES: usize = 16 << 10;

/// The memory that is counted for a request body while it is streamed, in bytes.
const STREAMED_BYTES: usize = 32 << 10;

/// Reads the requests of a connection and dispatches them to the service.
pub(super) struct Reader<'c, S> {
    pub(super) buffer: BytesMut,
    pub(super) half: ReadHalf<'c>,
    pub(super) queue: &'c Queue,
    pub(super) service: &'c Rc<S>,
    /// Cancelled when the server closes its idle connections.
    pub(super) token: &'c CancellationToken,
    pub(super) open: &'c Connections,
    /// The memory of `buffer`.
    pub(super) held: Held,
    /// The length of the head that was read last, in bytes.
    pub(super) head_len: usize,
}

/// The reason why no further request is read.
enum NoRequest {
    /// The client closed the connection.
    Disconnected,
    /// The connection was idle for too long, or the server closes its idle connections.
    Idle,
    /// The request is refused.
    Refused(Refusal),
}

impl<S: Service> Reader<'_, S> {
    /// Reads requests until the client disconnects or the connection is to be closed.
    pub(super) async fn run(mut self) -> End {
        loop {
            if self.wait_for_capacity().await.is_err() {
                return End::Disconnected;
            }
            let pause = backoff::pause(self.queue.refusals());
            if !self.buffer.is_empty() && !pause.is_zero() {
                sleep(pause).await;
            }
            let request = match self.head().await {
                Ok(head) => self.receive(head).await,
                Err(no_request) => Err(no_request),
            };
            match request {
                Ok(true) => {}
                Ok(false) => return self.wait_for_end().await,
                Err(NoRequest::Disconnected) => return End::Disconnected,
                Err(NoRequest::Idle) => return End::Closed,
                Err(NoRequest::Refused(_)) if self.queue.is_closing() => {
                    return self.wait_for_end().await;
                }
                Err(NoRequest::Refused(refusal)) => {
                    self.queue.push(Pending {
                        reply: Source::Ready(Box::new(self.service.refuse(refusal))),
                        is_head: false,
                        closes_after: true,
                        is_body_abandoned: Rc::default(),
                        held: self.open.ledger().hold(0),
                    });
                    return self.wait_for_end().await;
                }
            }
        }
    }

    /// Waits until another request may be read. Meanwhile a few bytes are received, so that a client
    /// that disconnects is noticed.
    async fn wait_for_capacity(&mut self) -> Result<(), NoRequest> {
        let queue = self.queue;
        let mut waiting = pin!(queue.wait_for_capacity());
        loop {
            tokio::select! {
                biased;
                () = &mut waiting => return Ok(()),
                filled = self.fill(), if self.buffer.len() < READ_BYTES => filled?,
            }
        }
    }

    /// Reads the head of the next request.
    async fn head(&mut self) -> Result<Request, NoRequest> {
        let mut begin = Instant::now();
        loop {
            let limits = self.service.limits();
            let received = self.buffer.len();
            if !self.buffer.is_empty()
                && let Some(head) =
                    parse::request(&mut self.buffer, limits.head).map_err(refused)?
            {
                self.head_len = received - self.buffer.len();
                self.queue.entry.set_reading(Standing::Idle);
                self.admit()?;
                return Ok(head);
            }
            let has_started = !self.buffer.is_empty();
            if has_started {
                self.admit()?;
            }
            let limit = if has_started {
                limits.header_timeout
            } else {
                limits.idle_timeout
            };
            let left = limit.saturating_sub(begin.elapsed());
            let (token, queue) = (self.token, self.queue);
            let closed = async {
                token.cancelled().await;
                queue.wait_until_idle().await;
            };
            let received = tokio::select! {
                biased;
                received = timeout(left, self.fill()) => received,
                () = closed, if !has_started => return Err(NoRequest::Idle),
            };
            match received {
                Ok(filled) => {
                    filled?;
                    if !has_started {
                        begin = Instant::now();
                        self.queue.entry.set_reading(Standing::Receiving);
                    }
                }
                Err(_) if has_started => return Err(NoRequest::Refused(Refusal::TooSlow)),
                Err(_) if self.queue.in_flight.get() > 0 => begin = Instant::now(),
                // A configuration change may have raised the limit meanwhile.
                Err(_) if begin.elapsed() < self.service.limits().idle_timeout => {}
                Err(_) => return Err(NoRequest::Idle),
            }
        }
    }

    /// Dispatches a request and reads its body; returns whether further requests may follow.
    async fn receive(&mut self, head: Request) -> Result<bool, NoRequest> {
        let keep_alive = head.keep_alive;
        if expects_continue(&head) && self.buffer.is_empty() && self.queue.in_flight.get() == 0 {
            self.queue.send_continue();
        }
        let buffer_max = self.open.ledger().buffer_max(BUFFERED_BODY_BYTES_MAX);
        match head.framing {
            Framing::Empty | Framing::Close => {
                Ok(self.dispatch(head, Body::Empty, Rc::default()) && keep_alive)
            }
            Framing::Length(length) if length <= buffer_max => {
                let body = Body::Buffered(self.read_buffered_body(length).await?);
                Ok(self.dispatch(head, body, Rc::default()) && keep_alive)
            }
            framing => self.stream_body(head, framing).await,
        }
    }

    async fn read_buffered_body(&mut self, length: u64) -> Result<Bytes, NoRequest> {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        let begin = Instant::now();
        self.queue.entry.set_reading(Standing::Receiving);
        while self.buffer.len() < length {
            self.admit()?;
            let left = self.service.limits().header_timeout;
            let left = left.saturating_sub(begin.elapsed());
            let filled = timeout(left, self.fill()).await;
            filled.map_err(|_| NoRequest::Refused(Refusal::TooSlow))??;
        }
        self.queue.entry.set_reading(Standing::Idle);
        Ok(self.buffer.split_to(length).freeze())
    }

    async fn stream_body(&mut self, head: Request, framing: Framing) -> Result<bool, NoRequest> {
        let (sender, parts) = body::channel();
        let length = match framing {
            Framing::Length(length) => Some(length),
            _ => None,
        };
        let is_body_abandoned = Rc::new(Cell::new(false));
        let keep_alive = head.keep_alive;
        let body = Body::Streamed { length, parts };
        if !self.dispatch(head, body, is_body_abandoned.clone()) {
            return Ok(false);
        }
        let _streamed = self.open.ledger().hold(STREAMED_BYTES);
        let mut decoder = Decoder::new(framing);
        let mut remaining = self.service.limits().body;
        loop {
            match decoder.step(&mut self.buffer) {
                Ok(Step::Data(data)) => {
                    let Some(left) = remaining.checked_sub(data.len() as u64) else {
                        is_body_abandoned.set(true);
                        return Ok(false);
                    };
                    remaining = left;
                    if sender.send(data).await.is_err() {
                        is_body_abandoned.set(!decoder.is_done());
                        return Ok(keep_alive && decoder.is_done());
                    }
                }
                Ok(Step::Done) => {
                    // A service that has responded without reading the body does not need its end.
                    sender.end().await.ok();
                    return Ok(keep_alive);
                }
                Ok(Step::More) => {
                    self.queue.entry.set_reading(Standing::Receiving);
                    tokio::select! {
                        filled = self.fill() => filled?,
                        () = sender.closed() => {
                            is_body_abandoned.set(true);
                            return Ok(false);
                        }
                    }
                    self.queue.entry.set_reading(Standing::Idle);
                }
                Err(_) => {
                    is_body_abandoned.set(true);
                    return Ok(false);
                }
            }
        }
    }

    /// Hands a request to the service, unless the connection closes after the response that is being
    /// written: its client sends the request again. Returns whether it did.
    fn dispatch(&self, head: Request, body: Body, is_body_abandoned: Rc<Cell<bool>>) -> bool {
        if self.queue.is_closing() {
            log::info!(next = "its client sends it again"; "a request behind the last response of its connection was not run");
            return false;
        }
        let is_head = &head.method[..] == b"HEAD";
        let closes_after = !head.keep_alive;
        let head_bytes = REQUEST_BYTES.max(self.head_len);
        let memory = self.open.ledger().hold(head_bytes + body.buffered_len());
        let task = Task::spawn(self.service.clone().handle(head, body));
        self.queue.push(Pending {
            reply: Source::Task(task),
            is_head,
            closes_after,
            is_body_abandoned,
            held: memory,
        });
        true
    }

    /// Receives a few bytes. An empty buffer is released until there are some.
    async fn fill(&mut self) -> Result<(), NoRequest> {
        loop {
            if self.buffer.is_empty() {
                self.buffer = BytesMut::new();
                self.held.set(0);
            }
            let readable = self.half.readable().await;
            readable.map_err(|_| NoRequest::Disconnected)?;
            // A client that sends without end must not keep others from being served.
            consume_budget().await;
            self.buffer.reserve(READ_BYTES);
            self.held.set(self.buffer.capacity());
            match self.half.try_read_buf(&mut self.buffer) {
                Ok(1..) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(0) | Err(_) => return Err(NoRequest::Disconnected),
            }
        }
    }

    /// Makes room while memory is scarce. While it is full, refuses the request that is being read;
    /// it must not have been dispatched.
    fn admit(&self) -> Result<(), NoRequest> {
        if self.open.admit() {
            Ok(())
        } else {
            Err(NoRequest::Refused(Refusal::Overloaded))
        }
    }

    /// Waits until the client disconnects; input is discarded, not parsed.
    async fn wait_for_end(mut self) -> End {
        loop {
            self.buffer = BytesMut::new();
            if self.fill().await.is_err() {
                return End::Disconnected;
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
