//! A node whose open connections can be made to fall silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\n\
    x-cicadagw-outcome: answered\r\n\
    content-length: 2\r\n\r\nok";

/// How long an answer takes, so that concurrent calls need connections of their own.
const WORK: Duration = Duration::from_millis(50);

/// A node that answers every call, except on connections that have fallen silent.
pub struct SilencingNode {
    pub address: SocketAddr,
    /// Incremented when the open connections fall silent.
    epoch: Arc<AtomicUsize>,
}

impl SilencingNode {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let epoch = Arc::<AtomicUsize>::default();
        let current = epoch.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_all(stream, current.clone()));
            }
        });
        Self { address, epoch }
    }

    /// Makes all open connections fall silent.
    pub fn silence(&self) {
        self.epoch.fetch_add(1, Ordering::Relaxed);
    }
}

/// Answers the requests of a connection, which have no bodies.
async fn answer_all(stream: TcpStream, epoch: Arc<AtomicUsize>) {
    let opened_in = epoch.load(Ordering::Relaxed);
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    while matches!(stream.read_line(&mut line).await, Ok(1..)) {
        if line == "\r\n" {
            tokio::time::sleep(WORK).await;
            if epoch.load(Ordering::Relaxed) != opened_in {
                std::future::pending::<()>().await;
            }
            if stream.write_all(ANSWER).await.is_err() {
                return;
            }
        }
        line.clear();
    }
}
