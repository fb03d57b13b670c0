//! The server's side of connections.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::{Future, pending};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::body::{self, Body, Cut};
use crate::client::write_part;
use crate::encode::response_head;
use crate::parse::{self, Request};
use crate::{Decoder, Error, Fields, Framing, Step, Task};

/// How many requests of one connection run at once; further ones wait to be read.
const PIPELINE_MAX: usize = 32;

/// The largest body that is read before its request is handed on, in bytes.
const SHORT_BODY: u64 = 64 << 10;

/// How much is read at once, in bytes.
const READ: usize = 16 << 10;

/// How long a connection that was closed with an answer is read on, so that a reset does not
/// overtake the answer.
const LINGER: Duration = Duration::from_secs(1);

/// How long nothing is accepted after the system had no room for a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The largest body, in bytes.
    pub body: u64,
    /// The largest head, in bytes.
    pub head: usize,
    /// How long a head, or a short body, may take from its first byte.
    pub head_time: Duration,
    /// How long a connection may be idle.
    pub idle: Duration,
}

/// Why a request is refused before it is handed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// It cannot be read.
    Malformed,
    /// Its head is too large.
    HeadTooLarge,
    /// It took too long.
    TooSlow,
}

/// An answer.
#[derive(Debug)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The header fields, without the framing.
    pub fields: Fields,
    /// The body.
    pub body: Body,
    /// The length that a response without body names, as one to HEAD does.
    pub named_length: Option<u64>,
    /// How long the client may let a part of the body wait; without end if there is none.
    pub stall_max: Option<Duration>,
}

impl Reply {
    /// Creates an answer without body.
    pub fn new(status: u16) -> Self {
        Self {
            status,
            fields: Fields::default(),
            body: Body::Whole(Bytes::new()),
            named_length: None,
            stall_max: None,
        }
    }
}

/// What answers the requests of a listener.
pub trait Service: 'static {
    /// Returns what a client may send.
    fn limits(&self) -> Limits;

    /// Answers a request; dropped when its client leaves.
    fn handle(self: Rc<Self>, head: Request, body: Body) -> impl Future<Output = Reply>;

    /// Answers a request that cannot be handed on.
    fn refuse(&self, refusal: Refusal) -> Reply;

    /// Tells whether connections are to be closed once they have nothing under way.
    fn is_leaving(&self) -> bool;

    /// Returns after how long a request that still runs is confirmed by an interim response; never
    /// if there is none.
    fn confirms_after(&self) -> Option<Duration>;
}

/// Serves the connections of `listener` until `token` is cancelled; those that are open go on.
pub async fn serve<S: Service>(listener: TcpListener, service: Rc<S>, token: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = token.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(stream, service.clone()));
            }
            Err(error) => {
                log::warn!(error:%; "a connection could not be accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<S: Service>(mut stream: TcpStream, service: Rc<S>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%; "a connection ended as it was accepted");
        return;
    }
    let queue = Queue::default();
    let end = {
        let (reader, writer) = stream.split();
        let reader = Reader {
            buffer: BytesMut::new(),
            half: reader,
            queue: &queue,
            service: &service,
        };
        let writer = Writer {
            half: writer,
            queue: &queue,
            service: &service,
        };
        tokio::select! {
            biased;
            end = reader.run() => end,
            end = writer.run() => end,
        }
    };
    // What is still under way has nobody left to answer to, and ends with the queue.
    drop(queue);
    if end == End::Closed {
        linger(&mut stream).await;
    }
}

/// How a connection came to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// The client left, or cannot be written to.
    Gone,
    /// The last answer was written.
    Closed,
}

async fn linger(stream: &mut TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut scratch = BytesMut::with_capacity(READ);
    let draining = async {
        while matches!(stream.read_buf(&mut scratch).await, Ok(1..)) {
            scratch.clear();
        }
    };
    // Nothing depends on whether the client closed its side in time.
    timeout(LINGER, draining).await.ok();
}

/// The requests of a connection that are not answered yet, in their order.
#[derive(Default)]
struct Queue {
    pending: RefCell<VecDeque<Pending>>,
    /// Those in `pending`, and the one that is being answered.
    open: Cell<usize>,
    /// Whether a client waits to be told that it may send its body.
    asks: Cell<bool>,
    pushed: Notify,
    popped: Notify,
}

/// What is written next.
enum Next {
    /// That the client may send its body.
    Continue,
    /// The answer to a request.
    Answer(Box<Pending>),
}

/// A request that is not answered yet.
struct Pending {
    reply: Source,
    is_head: bool,
    /// Whether the connection closes behind the answer.
    closes: bool,
    /// Set once the rest of the request's body will not be read.
    is_spoiled: Rc<Cell<bool>>,
}

/// Where an answer comes from.
enum Source {
    Task(Task<Reply>),
    Ready(Box<Reply>),
}

impl Queue {
    fn push(&self, pending: Pending) {
        self.open.set(self.open.get() + 1);
        self.pending.borrow_mut().push_back(pending);
        self.pushed.notify_one();
    }

    fn ask_on(&self) {
        self.asks.set(true);
        self.pushed.notify_one();
    }

    async fn pop(&self) -> Next {
        loop {
            if self.asks.take() {
                return Next::Continue;
            }
            if let Some(pending) = self.pending.borrow_mut().pop_front() {
                return Next::Answer(Box::new(pending));
            }
            self.pushed.notified().await;
        }
    }

    fn finish(&self) {
        self.open.set(self.open.get() - 1);
        self.popped.notify_one();
    }

    async fn room(&self) {
        while self.open.get() >= PIPELINE_MAX {
            self.popped.notified().await;
        }
    }
}

struct Reader<'c, S> {
    buffer: BytesMut,
    half: ReadHalf<'c>,
    queue: &'c Queue,
    service: &'c Rc<S>,
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
    async fn run(mut self) -> End {
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
                limits.head_time
            } else {
                limits.idle
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
                Err(_) if begin.elapsed() < self.service.limits().idle => {}
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
                self.hand_on(head, Body::Whole(body), Rc::default());
            }
            framing => return self.long_body(head, framing).await,
        }
        Ok(keep_alive)
    }

    async fn short_body(&mut self, length: u64) -> Result<Bytes, NoRequest> {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        let begin = Instant::now();
        while self.buffer.len() < length {
            let left = self.service.limits().head_time;
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
        self.hand_on(head, Body::Parts { length, parts }, is_spoiled.clone());
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
        self.buffer.reserve(READ / 4);
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

struct Writer<'c, S> {
    half: WriteHalf<'c>,
    queue: &'c Queue,
    service: &'c Rc<S>,
}

impl<S: Service> Writer<'_, S> {
    async fn run(mut self) -> End {
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
                || (self.service.is_leaving() && is_last);
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
        let confirms = self.service.confirms_after();
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
            Body::Whole(bytes) => self.write_all(head.chain(bytes), limit).await,
            Body::Parts { mut parts, .. } => {
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
