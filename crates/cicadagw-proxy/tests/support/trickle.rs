//! A backend server that sends its response in parts, at a steady pace.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::backend::read;

/// What is sent in response to each request.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How long the server works before it sends the head.
    pub work: Duration,
    /// The head, with the empty line after it.
    pub head: String,
    /// A part of the body.
    pub part: Vec<u8>,
    /// How often the part is sent; without end if it is `None`.
    pub count: Option<usize>,
    /// The pause after each part.
    pub pause: Duration,
}

impl Plan {
    /// Returns a plan for a response whose head states a body of `length` bytes, of which `count`
    /// parts of `part` bytes are sent.
    pub fn with_length(length: u64, part: usize, count: Option<usize>) -> Self {
        Self {
            work: Duration::ZERO,
            head: format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n"),
            part: vec![b'x'; part],
            count,
            pause: Duration::from_millis(20),
        }
    }
}

/// A server that responds to each request according to its plan.
pub struct Trickle {
    pub address: SocketAddr,
    /// When the last head had been sent.
    head_sent: Arc<Mutex<Option<Instant>>>,
}

impl Trickle {
    /// Returns when the head of the last response had been sent.
    pub fn head_sent(&self) -> Option<Instant> {
        *self.head_sent.lock().unwrap()
    }
}

/// Starts a server that responds to each request according to `plan`, and keeps its connections
/// open.
pub async fn start(plan: Plan) -> Trickle {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let head_sent = Arc::<Mutex<Option<Instant>>>::default();
    let last = head_sent.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, plan.clone(), last.clone()));
        }
    });
    Trickle { address, head_sent }
}

async fn serve(stream: TcpStream, plan: Plan, head_sent: Arc<Mutex<Option<Instant>>>) {
    let mut stream = BufReader::new(stream);
    stream.get_ref().set_nodelay(true).unwrap();
    while read(&mut stream).await.is_some() {
        sleep(plan.work).await;
        if stream.write_all(plan.head.as_bytes()).await.is_err() {
            return;
        }
        *head_sent.lock().unwrap() = Some(Instant::now());
        let mut sent = 0;
        while plan.count.is_none_or(|count| sent < count) {
            if stream.write_all(&plan.part).await.is_err() {
                return;
            }
            sent += 1;
            if !plan.pause.is_zero() {
                sleep(plan.pause).await;
            }
        }
    }
}
