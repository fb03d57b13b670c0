//! The clients of a crowd.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// How long a client that cannot send waits before it gives up sending.
const BLOCKED_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a client waits for its connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// The size of a client's receive buffer, in bytes, so that what it does not read stays at the node.
const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;

/// What a client does on a connection. It never reads.
pub(crate) struct Member {
    /// What it sends first.
    pub(crate) head: String,
    /// What it sends after that, `repetitions` times.
    pub(crate) repeated: String,
    pub(crate) repetitions: usize,
    /// How many connections it opens, each after it has closed the one before.
    pub(crate) connections: usize,
}

impl Member {
    /// A client that sends `text` once.
    pub(crate) fn sending(text: impl Into<String>) -> Self {
        Self::repeating("", text, 1)
    }

    /// A client that sends `head` and then `repeated` many times.
    pub(crate) fn repeating(
        head: impl Into<String>,
        repeated: impl Into<String>,
        repetitions: usize,
    ) -> Self {
        Self {
            head: head.into(),
            repeated: repeated.into(),
            repetitions,
            connections: 1,
        }
    }
}

/// Clients that stay connected until this is dropped.
pub(crate) struct Crowd {
    _connections: Vec<TcpStream>,
}

impl Crowd {
    /// Connects `count` clients, and waits until each has sent all or is not read from any longer.
    pub(crate) async fn run(address: SocketAddr, count: usize, member: &Member) -> Self {
        let mut clients = JoinSet::new();
        for _ in 0..count {
            let (head, repeated) = (member.head.clone(), member.repeated.clone());
            let (repetitions, connections) = (member.repetitions, member.connections);
            clients.spawn(async move {
                for _ in 1..connections {
                    drop(client(address, &head, &repeated, repetitions).await);
                }
                client(address, &head, &repeated, repetitions).await
            });
        }
        Self {
            _connections: clients.join_all().await.into_iter().flatten().collect(),
        }
    }
}

/// Opens a connection and sends; returns the connection if the node has not refused it.
async fn client(
    address: SocketAddr,
    head: &str,
    repeated: &str,
    repetitions: usize,
) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
    let connecting = timeout(CONNECT_TIMEOUT, socket.connect(address)).await;
    let mut stream = connecting.ok()?.ok()?;
    for text in std::iter::once(head).chain(std::iter::repeat_n(repeated, repetitions)) {
        let sending = timeout(BLOCKED_TIMEOUT, stream.write_all(text.as_bytes())).await;
        if !matches!(sending, Ok(Ok(()))) {
            break;
        }
    }
    Some(stream)
}
