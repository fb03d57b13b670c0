//! A node that refuses every call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    x-cicadagw-outcome: not-run\r\n\
    x-cicadagw-reason: shed\r\n\
    x-cicadagw-load: 20/20\r\n\
    content-length: 0\r\n\r\n";

/// A node that refuses every call as shed, and reports that all slots are taken.
pub struct RefusingNode {
    pub address: SocketAddr,
    connections: Arc<AtomicUsize>,
    calls: Arc<AtomicUsize>,
}

impl RefusingNode {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::<AtomicUsize>::default();
        let calls = Arc::<AtomicUsize>::default();
        let (accepted, received) = (connections.clone(), calls.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepted.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(refuse_all(stream, received.clone()));
            }
        });
        Self {
            address,
            connections,
            calls,
        }
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns the number of calls refused so far.
    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }
}

/// Refuses the requests of a connection, which have no bodies.
async fn refuse_all(stream: TcpStream, calls: Arc<AtomicUsize>) {
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    while matches!(stream.read_line(&mut line).await, Ok(1..)) {
        if line == "\r\n" {
            calls.fetch_add(1, Ordering::Relaxed);
            if stream.write_all(REFUSAL).await.is_err() {
                return;
            }
        }
        line.clear();
    }
}
