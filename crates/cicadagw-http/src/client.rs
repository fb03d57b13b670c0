//! The client's side of a connection.

use std::cell::Cell;
use std::fmt;
use std::io;
use std::mem::MaybeUninit;
use std::pin::pin;
use std::rc::Weak;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::WriteHalf;

use crate::body::{Cut, Receiver};
use crate::encode::chunk_head;
use crate::life::{Event, Guard, State, chart};
use crate::parse::{self, Response};
use crate::{Decoder, Framing, Pool, Step};

/// The largest head of a response, in bytes.
const HEAD_MAX: usize = 64 << 10;

/// How much is read at once, in bytes.
const READ: usize = 16 << 10;

/// The largest body of a foreign answer that is read past, in bytes.
const FOREIGN_MAX: usize = 1 << 20;

/// A connection to a server.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    home: Weak<Pool>,
    state: State,
    is_reused: bool,
}

/// A request as it goes out.
#[derive(Debug)]
pub struct Request<'o> {
    /// The whole head.
    pub head: BytesMut,
    /// The method.
    pub method: &'o [u8],
    /// The body, or its beginning.
    pub buffered: Bytes,
    /// The rest of the body, and how the whole is framed.
    pub streamed: Option<(&'o mut Receiver, Framing)>,
    /// Set once the server has said anything at all, such as an interim response.
    pub is_responsive: &'o Cell<bool>,
}

/// Why there is no answer to a request that may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// The connection ended or was reset before the head of the answer.
    Ended,
    /// As `Ended`, on a connection that had served a request before.
    EndedReused,
    /// What came is no answer.
    Malformed,
    /// The body of the request was cut by its sender.
    CutRequest,
}

impl fmt::Display for Loss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ended => "the connection ended before the response",
            Self::EndedReused => "the reused connection ended before the response",
            Self::Malformed => "the response is malformed",
            Self::CutRequest => "the request body was cut by its sender",
        })
    }
}

/// The answer to a request: its head, and its body as it comes.
#[derive(Debug)]
pub struct Answer {
    /// The head.
    pub head: Response,
    /// The body.
    pub body: Incoming,
}

/// The body of an answer. Dropped before its end, it closes the connection.
#[derive(Debug)]
pub struct Incoming {
    connection: Option<Connection>,
    decoder: Decoder,
    /// Whether the connection may be used again as far as the heads and the request go.
    may_keep: bool,
    allowed: Option<Duration>,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream, home: Weak<Pool>) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            home,
            state: State::Idle,
            is_reused: false,
        }
    }

    /// Tells whether the connection has served a request before.
    pub const fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Tells whether an idle connection is open and has brought nothing.
    pub(crate) fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and awaits the head of its answer; `is_ours` tells it from a late answer to
    /// an earlier request. An answer that comes before the whole request was sent ends the sending.
    ///
    /// # Errors
    ///
    /// How the answer was lost. The request may have run.
    pub async fn exchange(
        mut self,
        request: Request<'_>,
        is_ours: impl Fn(&Response) -> bool,
    ) -> Result<Answer, Loss> {
        self.step(Event::Send, false);
        let method = request.method;
        let is_responsive = request.is_responsive;
        let (mut reader, mut writer) = self.stream.split();
        let mut incoming = Head {
            buffer: &mut self.buffer,
            state: &mut self.state,
            method,
            is_responsive,
        };
        let mut is_sent = false;
        let outcome = {
            let mut sending = pin!(send(&mut writer, request));
            let mut reading = pin!(incoming.read(&mut reader, is_ours));
            loop {
                tokio::select! {
                    biased;
                    sent = &mut sending, if !is_sent => match sent {
                        Ok(()) => is_sent = true,
                        // The answer may be there although the rest of the request is not wanted.
                        Err(Stop::Refused) => break reading.await,
                        Err(Stop::Cut) => break Err(Loss::CutRequest),
                    },
                    read = &mut reading => break read,
                }
            }
        };
        let answered = outcome.map_err(|loss| match loss {
            Loss::Ended if self.is_reused => Loss::EndedReused,
            loss => loss,
        })?;
        Ok(self.answer(answered, is_sent))
    }

    fn answer(self, head: Response, is_sent: bool) -> Answer {
        let allowed = head.fields.text("keep-alive").and_then(keep_alive);
        Answer {
            body: Incoming {
                connection: Some(self),
                decoder: Decoder::new(head.framing),
                may_keep: head.keep_alive && is_sent,
                allowed,
            },
            head,
        }
    }

    fn step(&mut self, event: Event, is_reusable: bool) {
        self.state = step(self.state, event, is_reusable);
    }
}

impl Incoming {
    /// Returns the next part of the body; `None` once it is whole.
    ///
    /// # Errors
    ///
    /// [`Cut`] when the connection ended before the body did, or brought what cannot be read.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Cut> {
        loop {
            let Some(connection) = &mut self.connection else {
                return if self.decoder.ends_by_close() {
                    Ok(None)
                } else {
                    Err(Cut)
                };
            };
            match self.decoder.step(&mut connection.buffer) {
                Ok(Step::Data(data)) => return Ok(Some(data)),
                Ok(Step::Done) => {
                    self.finish();
                    return Ok(None);
                }
                Ok(Step::More) => {
                    connection.buffer.reserve(READ);
                    let read = connection.stream.read_buf(&mut connection.buffer).await;
                    match read {
                        Ok(1..) => {}
                        Ok(0) if self.decoder.ends_by_close() => {
                            self.connection = None;
                            return Ok(None);
                        }
                        Ok(0) | Err(_) => {
                            self.connection = None;
                            return Err(Cut);
                        }
                    }
                }
                Err(_) => {
                    self.connection = None;
                    return Err(Cut);
                }
            }
        }
    }

    /// Gives a connection that may be used again back to its pool.
    fn finish(&mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        let is_reusable = self.may_keep && connection.buffer.is_empty();
        connection.step(Event::Whole, is_reusable);
        if connection.state == State::Idle
            && let Some(pool) = connection.home.upgrade()
        {
            connection.is_reused = true;
            connection.buffer = BytesMut::new();
            pool.keep(connection, self.allowed);
        }
    }
}

/// The reading of a response's head.
struct Head<'h> {
    buffer: &'h mut BytesMut,
    state: &'h mut State,
    method: &'h [u8],
    is_responsive: &'h Cell<bool>,
}

impl Head<'_> {
    /// Reads past interim and foreign responses up to the head that is ours.
    async fn read(
        &mut self,
        reader: &mut (impl AsyncReadExt + Unpin),
        is_ours: impl Fn(&Response) -> bool,
    ) -> Result<Response, Loss> {
        loop {
            let head = self.next(reader).await?;
            self.is_responsive.set(true);
            if (100..200).contains(&head.status) {
                if head.status == 101 {
                    return Err(self.broken());
                }
                continue;
            }
            if is_ours(&head) {
                *self.state = step(*self.state, Event::Head, false);
                return Ok(head);
            }
            *self.state = step(*self.state, Event::Foreign, false);
            self.skip(reader, head.framing).await?;
        }
    }

    async fn next(&mut self, reader: &mut (impl AsyncReadExt + Unpin)) -> Result<Response, Loss> {
        loop {
            match parse::response(self.buffer, self.method, HEAD_MAX) {
                Ok(Some(head)) => return Ok(head),
                Ok(None) => self.fill(reader).await?,
                Err(_) => return Err(self.broken()),
            }
        }
    }

    /// Reads past the body of a foreign response.
    async fn skip(
        &mut self,
        reader: &mut (impl AsyncReadExt + Unpin),
        framing: Framing,
    ) -> Result<(), Loss> {
        if framing == Framing::Close {
            return Err(self.broken());
        }
        let mut decoder = Decoder::new(framing);
        let mut skipped = 0;
        loop {
            match decoder.step(self.buffer) {
                Ok(Step::Done) => return Ok(()),
                Ok(Step::Data(data)) if skipped + data.len() <= FOREIGN_MAX => {
                    skipped += data.len();
                }
                Ok(Step::More) => self.fill(reader).await?,
                Ok(Step::Data(_)) | Err(_) => return Err(self.broken()),
            }
        }
    }

    async fn fill(&mut self, reader: &mut (impl AsyncReadExt + Unpin)) -> Result<(), Loss> {
        self.buffer.reserve(READ);
        if let Ok(1..) = reader.read_buf(self.buffer).await {
            return Ok(());
        }
        *self.state = step(*self.state, Event::Broken, false);
        // What came was the beginning of something else.
        Err(if self.buffer.is_empty() {
            Loss::Ended
        } else {
            Loss::Malformed
        })
    }

    fn broken(&mut self) -> Loss {
        *self.state = step(*self.state, Event::Broken, false);
        Loss::Malformed
    }
}

/// Why the sending of a request stopped.
enum Stop {
    /// The connection does not take it.
    Refused,
    /// Its body was cut by its sender.
    Cut,
}

async fn send(writer: &mut WriteHalf<'_>, request: Request<'_>) -> Result<(), Stop> {
    let refused = |_| Stop::Refused;
    let Some((rest, framing)) = request.streamed else {
        let mut whole = request.head.chain(request.buffered);
        return writer.write_all_buf(&mut whole).await.map_err(refused);
    };
    let is_chunked = framing == Framing::Chunked;
    let mut head = request.head;
    writer.write_all_buf(&mut head).await.map_err(refused)?;
    let mut part = Some(request.buffered);
    while let Some(data) = part {
        if !data.is_empty() {
            write_part(writer, data, is_chunked)
                .await
                .map_err(refused)?;
        }
        part = rest.next().await.map_err(|Cut| Stop::Cut)?;
    }
    if is_chunked {
        writer.write_all(b"0\r\n\r\n").await.map_err(refused)?;
    }
    Ok(())
}

/// Writes a part of a body.
pub(crate) async fn write_part(
    writer: &mut (impl AsyncWriteExt + Unpin),
    data: Bytes,
    is_chunked: bool,
) -> io::Result<()> {
    if is_chunked {
        let head = chunk_head(data.len());
        let mut framed = head.chain(data).chain(&b"\r\n"[..]);
        return writer.write_all_buf(&mut framed).await;
    }
    let mut data = data;
    writer.write_all_buf(&mut data).await
}

fn step(state: State, event: Event, is_reusable: bool) -> State {
    chart()
        .step(state, event, |guard| match guard {
            Guard::Reusable => is_reusable,
        })
        .to
}

/// Reads how long a server keeps an idle connection, in whole seconds; a second less is used, since
/// the server counts from an earlier moment.
fn keep_alive(value: &str) -> Option<Duration> {
    let timeout = value
        .split(',')
        .find_map(|option| option.trim().strip_prefix("timeout="))?;
    let seconds: u64 = timeout.parse().ok()?;
    Some(Duration::from_secs(seconds.saturating_sub(1)))
}
