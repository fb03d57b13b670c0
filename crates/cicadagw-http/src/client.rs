//! The client side of a connection: sending a request and receiving its response.

use std::cell::Cell;
use std::fmt;
use std::io;
use std::mem::MaybeUninit;
use std::pin::pin;
use std::rc::Weak;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::body::{Receiver, Truncated};
use crate::head_reader::HeadReader;
use crate::lifecycle::{Event, State, step};
use crate::parse::Response as ResponseHead;
use crate::send::{SendError, send};
use crate::{Decoder, Framing, Pool, Step};

/// The buffer space reserved for each read, in bytes.
pub(crate) const READ_BYTES: usize = 16 << 10;

/// A client connection to a server.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    pool: Weak<Pool>,
    state: State,
    is_reused: bool,
    /// Whether the connection was opened just now, or the server has just responded on it.
    pub(crate) is_alive: bool,
    /// Whether [`Options::tcp_user_timeout`](crate::pool::Options::tcp_user_timeout) is in force.
    pub(crate) is_bounded: bool,
}

/// A request to send.
#[derive(Debug)]
pub struct Request<'o> {
    /// The serialized head.
    pub head: BytesMut,
    /// The request method; the response to HEAD has no body, whatever its head says.
    pub method: &'o [u8],
    /// The part of the body that is held in memory: all of it unless `streamed` is set.
    pub buffered: Bytes,
    /// The rest of the body, sent as it arrives, and the framing of the whole body.
    pub streamed: Option<(&'o mut Receiver, Framing)>,
    /// Set once the server has sent any response head, including an interim one.
    pub has_responded: &'o Cell<bool>,
}

impl Request<'_> {
    /// Returns whether the body is long; see [`Framing::is_long`].
    ///
    /// The kernel applies `TCP_USER_TIMEOUT` also while the receive window of the server is full,
    /// although the server acknowledges each probe. The timeout is therefore lifted for a long request
    /// once the server is known to be alive: the connection is new, or the server has just responded
    /// on it, or responds to this request, be it with an interim response.
    fn is_long(&self) -> bool {
        let buffered = Framing::Length(self.buffered.len() as u64);
        let streamed = self.streamed.as_ref().map(|(_, framing)| *framing);
        streamed.unwrap_or(buffered).is_long()
    }
}

/// The reason why there is no response to a request that may have been executed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// The connection was closed or reset before the response head arrived.
    Ended,
    /// As `Ended`, on a connection that had served an earlier request.
    EndedReused,
    /// The server has not acknowledged the request within [`Options::tcp_user_timeout`].
    ///
    /// [`Options::tcp_user_timeout`]: crate::pool::Options::tcp_user_timeout
    Silent,
    /// The response, or a stale response before it, is invalid, was cut off by the end of the
    /// connection, or leaves the connection unusable: `101 Switching Protocols`, a stale response
    /// that is too long or has no length, or too many interim or stale responses.
    Unusable,
    /// The request body ended before it was complete.
    TruncatedRequest,
}

impl fmt::Display for Loss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ended => "the connection was closed before a response head arrived",
            Self::EndedReused => "the reused connection was closed before a response head arrived",
            Self::Silent => "the connection has fallen silent",
            Self::Unusable => {
                "the response was invalid, incomplete or left the connection unusable"
            }
            Self::TruncatedRequest => "the request body ended before it was complete",
        })
    }
}

/// A response: its head, and its body, which is still being received.
#[derive(Debug)]
pub struct Response {
    /// The head.
    pub head: ResponseHead,
    /// The body.
    pub body: Incoming,
}

/// A response body that is still being received. Dropping it before the end closes the connection.
#[derive(Debug)]
pub struct Incoming {
    /// The connection; `None` once the body is complete or truncated.
    connection: Option<Connection>,
    decoder: Decoder,
    is_truncated: bool,
    /// Whether the response head and the request allow the connection to be reused.
    allows_reuse: bool,
    server_idle_timeout: Option<Duration>,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream, pool: Weak<Pool>) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            pool,
            state: State::Idle,
            is_reused: false,
            is_alive: true,
            is_bounded: true,
        }
    }

    pub(crate) const fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns whether the connection has served an earlier request.
    pub const fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Returns whether an idle connection is open and has received no bytes.
    pub(crate) fn is_usable(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and waits for the response head. `is_ours` distinguishes the response from
    /// a stale response to an earlier request. A response that arrives before the whole request was
    /// sent ends the sending.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no response; the server may have executed the request.
    pub async fn exchange(
        mut self,
        request: Request<'_>,
        is_ours: impl Fn(&ResponseHead) -> bool,
    ) -> Result<Response, Loss> {
        self.step(Event::Send, false);
        let method = request.method;
        let has_responded = request.has_responded;
        let is_long = request.is_long();
        self.is_bounded = !is_long;
        if is_long && self.is_alive {
            lift_silence_bound(&self.stream);
        }
        let (mut reader, mut writer) = self.stream.split();
        let mut incoming = HeadReader {
            buffer: &mut self.buffer,
            state: &mut self.state,
            method,
            has_responded,
            is_long,
        };
        let mut is_sent = false;
        let mut is_broken = false;
        let outcome = {
            let mut sending = pin!(send(&mut writer, request));
            let mut reading = pin!(incoming.read(&mut reader, is_ours));
            loop {
                tokio::select! {
                    biased;
                    sent = &mut sending, if !is_sent => match sent {
                        Ok(()) => is_sent = true,
                        // The server may have responded although it does not read the rest of the
                        // request.
                        Err(error @ (SendError::Broken | SendError::Closed)) => {
                            is_broken = error == SendError::Broken;
                            break reading.await;
                        }
                        Err(SendError::TruncatedBody) => break Err(Loss::TruncatedRequest),
                    },
                    read = &mut reading => break read,
                }
            }
        };
        let head = outcome.map_err(|loss| match loss {
            Loss::Ended if self.is_reused => Loss::EndedReused,
            loss => loss,
        })?;
        if is_broken {
            self.step(Event::Broken, false);
        }
        Ok(self.response(head, is_sent))
    }

    /// Returns whether the connection broke, so that the end of the stream does not mean that the
    /// server closed it.
    fn is_broken(&self) -> bool {
        self.state == State::Unusable
    }

    fn response(self, head: ResponseHead, is_sent: bool) -> Response {
        let server_idle_timeout = head.fields.text("keep-alive").and_then(keep_alive);
        Response {
            body: Incoming {
                connection: Some(self),
                decoder: Decoder::new(head.framing),
                is_truncated: false,
                allows_reuse: head.keep_alive && is_sent,
                server_idle_timeout,
            },
            head,
        }
    }

    fn step(&mut self, event: Event, is_reusable: bool) {
        self.state = step(self.state, event, is_reusable);
    }
}

impl Incoming {
    /// Returns the next part of the body, or `None` once the body is complete; further calls
    /// return `None` again.
    ///
    /// # Errors
    ///
    /// Returns [`Truncated`] when the connection ended before the body did, or the body's framing
    /// is invalid; further calls return it again.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Truncated> {
        loop {
            let Some(connection) = &mut self.connection else {
                return if self.is_truncated {
                    Err(Truncated)
                } else {
                    Ok(None)
                };
            };
            match self.decoder.step(&mut connection.buffer) {
                Ok(Step::Data(data)) => return Ok(Some(data)),
                Ok(Step::Done) => {
                    self.finish();
                    return Ok(None);
                }
                Ok(Step::More) => {
                    connection.buffer.reserve(READ_BYTES);
                    let read = connection.stream.read_buf(&mut connection.buffer).await;
                    match read {
                        Ok(1..) => {}
                        Ok(0) if self.decoder.ends_by_close() && !connection.is_broken() => {
                            self.connection = None;
                            return Ok(None);
                        }
                        Ok(0) | Err(_) => return self.truncate(),
                    }
                }
                Err(_) => return self.truncate(),
            }
        }
    }

    /// Closes the connection, and reports the body as truncated from now on.
    fn truncate(&mut self) -> Result<Option<Bytes>, Truncated> {
        self.connection = None;
        self.is_truncated = true;
        Err(Truncated)
    }

    /// Returns a reusable connection to its pool.
    fn finish(&mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        let is_reusable = self.allows_reuse && connection.buffer.is_empty();
        connection.step(Event::Whole, is_reusable);
        if connection.state == State::Idle
            && let Some(pool) = connection.pool.upgrade()
        {
            connection.is_reused = true;
            connection.buffer = BytesMut::new();
            pool.put_back(connection, self.server_idle_timeout);
        }
    }
}

/// Lets the bytes sent on a connection stay unacknowledged until the request's own deadline.
pub(crate) fn lift_silence_bound(stream: &TcpStream) {
    if let Err(error) = socket2::SockRef::from(stream).set_tcp_user_timeout(None) {
        log::debug!(error:%; "the timeout of unacknowledged bytes cannot be changed");
    }
}

/// Parses the `timeout` of a `keep-alive` field: how long the server keeps an idle connection open,
/// in whole seconds. Returns one second less, since the server starts counting earlier.
fn keep_alive(value: &str) -> Option<Duration> {
    let timeout = value
        .split(',')
        .find_map(|option| option.trim().strip_prefix("timeout="))?;
    let seconds: u64 = timeout.parse().ok()?;
    Some(Duration::from_secs(seconds.saturating_sub(1)))
}
