//! A scripted service, a scripted server and raw client connections.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses only some of the fixtures"
)]

pub mod client;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cicadagw_http::server::{Limits, Refusal, Reply, Service, serve};
use cicadagw_http::{Body, Request, body};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::task::LocalSet;
use tokio_util::sync::CancellationToken;

/// The number of bytes that an endless server sends at once.
const BLOCK_BYTES: usize = 16 << 10;

/// Runs `test` in a `LocalSet`, as the threads of a node do.
pub async fn local<T>(test: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(test).await
}

/// A service that echoes path and body. It responds to `/hold/NAME` only after [`Script::release`]
/// of NAME, and to `/unread` with 413 without reading the body. The end of the response to
/// `/stream/NAME` is held back until [`Script::release`] of NAME.
pub struct Script {
    pub limits: Cell<Limits>,
    pub is_draining: Cell<bool>,
    pub interim_response_delay: Cell<Option<Duration>>,
    /// The number of requests that were dropped before the response.
    pub dropped: Rc<Cell<usize>>,
    pub started: Notify,
    /// The number of requests that were handed to the service.
    pub handled: Cell<usize>,
    gates: RefCell<BTreeMap<String, Rc<Notify>>>,
}

/// Counts a request in `dropped` unless the service responded to it.
struct Guard {
    dropped: Rc<Cell<usize>>,
    has_responded: bool,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.has_responded {
            self.dropped.set(self.dropped.get() + 1);
        }
    }
}

impl Script {
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            limits: Cell::new(Limits {
                body: 1 << 20,
                head: 8 << 10,
                header_timeout: Duration::from_secs(5),
                idle_timeout: Duration::from_secs(5),
            }),
            is_draining: Cell::default(),
            interim_response_delay: Cell::default(),
            dropped: Rc::default(),
            started: Notify::new(),
            handled: Cell::default(),
            gates: RefCell::default(),
        })
    }

    /// Serves on a free port and returns the address.
    pub async fn start(self: &Rc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::task::spawn_local(serve(listener, self.clone(), CancellationToken::new()));
        address
    }

    /// Serves `listener` until `token` is cancelled and all connections have ended.
    pub async fn serve(self: &Rc<Self>, listener: TcpListener, token: CancellationToken) {
        serve(listener, self.clone(), token).await;
    }

    pub fn release(&self, name: &str) {
        self.gate(name).notify_one();
    }

    fn gate(&self, name: &str) -> Rc<Notify> {
        let mut gates = self.gates.borrow_mut();
        gates.entry(name.to_owned()).or_default().clone()
    }
}

impl Service for Script {
    fn limits(&self) -> Limits {
        self.limits.get()
    }

    async fn handle(self: Rc<Self>, head: Request, body: Body) -> Reply {
        let mut guard = Guard {
            dropped: self.dropped.clone(),
            has_responded: false,
        };
        self.started.notify_one();
        self.handled.set(self.handled.get() + 1);
        let path = String::from_utf8(head.target.to_vec()).unwrap();
        if let Some(name) = path.strip_prefix("/hold/") {
            self.gate(name).notified().await;
        }
        let mut reply = Reply::new(200);
        if path == "/unread" {
            reply.status = 413;
        } else if let Some(name) = path.strip_prefix("/stream/") {
            let (sender, parts) = body::channel();
            reply.body = Body::Streamed {
                length: None,
                parts,
            };
            let gate = self.gate(name);
            tokio::task::spawn_local(async move {
                sender.send("first".into()).await.unwrap();
                gate.notified().await;
                sender.send("last".into()).await.unwrap();
                sender.end().await.unwrap();
            });
        } else {
            let mut text = path.into_bytes();
            text.push(b' ');
            text.extend(collect(body).await);
            reply.body = Body::Buffered(text.into());
        }
        guard.has_responded = true;
        reply
    }

    fn refuse(&self, refusal: Refusal) -> Reply {
        Reply::new(match refusal {
            Refusal::Malformed => 400,
            Refusal::HeadTooLarge => 431,
            Refusal::TooSlow => 408,
            Refusal::Overloaded => 503,
        })
    }

    fn is_draining(&self) -> bool {
        self.is_draining.get()
    }

    fn interim_response_delay(&self) -> Option<Duration> {
        self.interim_response_delay.get()
    }
}

async fn collect(body: Body) -> Vec<u8> {
    match body {
        Body::Empty => Vec::new(),
        Body::Buffered(bytes) => bytes.to_vec(),
        Body::Streamed { mut parts, .. } => {
            let mut collected = Vec::new();
            while let Some(part) = parts.next().await.unwrap() {
                collected.extend_from_slice(&part);
            }
            collected
        }
    }
}

/// Sends `bytes` and returns everything received until the connection ends.
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    rest(&mut stream).await
}

/// Returns everything received until the connection ends.
pub async fn rest(stream: &mut TcpStream) -> String {
    let mut all = Vec::new();
    stream.read_to_end(&mut all).await.unwrap();
    String::from_utf8_lossy(&all).into_owned()
}

/// Returns everything received up to the first occurrence of `end`.
pub async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut all = Vec::new();
    while !String::from_utf8_lossy(&all).contains(end) {
        assert_ne!(stream.read_buf(&mut all).await.unwrap(), 0);
    }
    String::from_utf8_lossy(&all).into_owned()
}

/// What a scripted server does with a connection after each response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AfterResponse {
    Close,
    KeepOpen,
}

/// Starts a server that responds to each request head with the next of `responses`.
pub async fn serve_responses(responses: Vec<Vec<u8>>, after: AfterResponse) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        let mut responses = responses.into_iter();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            for response in responses.by_ref() {
                if !read_head(&mut stream).await {
                    break;
                }
                stream.write_all(&response).await.unwrap();
                if after == AfterResponse::Close {
                    break;
                }
            }
        }
    });
    address
}

/// Starts a server that responds to a request with `response`, and then resets the connection.
pub async fn reset_after(response: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        stream.write_all(response).await.unwrap();
        // The response must be read before the reset discards it.
        tokio::time::sleep(Duration::from_millis(100)).await;
        stream.set_zero_linger().unwrap();
    });
    address
}

/// Starts a server that responds to a request with `start`, and then with `repeated` until the
/// client closes the connection. The receiver gets the number of bytes sent until then.
pub async fn serve_endless(
    start: &[u8],
    repeated: &[u8],
) -> (SocketAddr, oneshot::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let start = start.to_vec();
    let block = repeated.repeat(BLOCK_BYTES.div_ceil(repeated.len()));
    let (sender, receiver) = oneshot::channel();
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        stream.write_all(&start).await.unwrap();
        let mut sent = start.len();
        while stream.write_all(&block).await.is_ok() {
            sent += block.len();
        }
        sender.send(sent).ok();
    });
    (address, receiver)
}

pub async fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte).await {
            Ok(1) => head.push(byte[0]),
            _ => return false,
        }
    }
    true
}
