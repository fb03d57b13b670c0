//! Peers that send bytes without end.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep_until};

/// What a faulty peer sends: a start, and then a block again and again.
#[derive(Clone, Copy, Debug)]
pub struct Feed {
    pub what: &'static str,
    pub start: &'static str,
    pub block: &'static str,
    /// How many blocks are sent at once.
    pub at_once: usize,
}

impl Feed {
    /// A feed that is sent as fast as it is taken.
    pub const fn new(what: &'static str, start: &'static str, block: &'static str) -> Self {
        Self {
            what,
            start,
            block,
            at_once: 4 << 10,
        }
    }

    /// A feed in segments of one block each.
    pub const fn in_segments(what: &'static str, start: &'static str, block: &'static str) -> Self {
        Self {
            what,
            start,
            block,
            at_once: 1,
        }
    }

    /// Sends the feed until the peer closes the connection or `until`, and discards what the peer
    /// sends.
    pub async fn send(&self, stream: TcpStream, until: Instant) {
        stream.set_nodelay(true).unwrap();
        let (mut reader, mut writer) = stream.into_split();
        let sending = async {
            let block = self.block.repeat(self.at_once);
            let mut written = writer.write_all(self.start.as_bytes()).await;
            while written.is_ok() && Instant::now() < until {
                written = writer.write_all(block.as_bytes()).await;
            }
        };
        let discarding = async {
            let mut scratch = vec![0; 64 << 10];
            while matches!(reader.read(&mut scratch).await, Ok(1..)) {}
        };
        tokio::select! {
            () = sending => {}
            () = discarding => {}
            () = sleep_until(until) => {}
        }
    }
}

/// Starts a server that sends `feed` in response to each first request on a connection.
pub async fn serve(feed: Feed, for_s: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut head = [0; 1 << 10];
                if matches!(stream.read(&mut head).await, Ok(1..)) {
                    feed.send(stream, Instant::now() + for_s).await;
                }
            });
        }
    });
    address
}
