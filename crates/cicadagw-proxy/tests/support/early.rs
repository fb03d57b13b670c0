//! A backend server that responds before it has read the body of the request.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// How long the server waits before it responds, so that the sender of a long body fills the buffers
/// of the connection.
const WORK: Duration = Duration::from_millis(30);

/// How long the server waits between closing its side and resetting the connection.
const CLOSE_TO_RESET: Duration = Duration::from_millis(20);

/// How the server ends a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// It resets the connection.
    Reset,
    /// It closes its side in order, and then resets the connection.
    CloseThenReset,
    /// It closes its side in order, and reads until the client closes as well.
    Close,
}

/// Starts a server that responds to each request with `response` and ends the connection; returns
/// its address.
pub async fn start(response: Vec<u8>, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, response.clone(), end));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, response: Vec<u8>, end: End) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let Ok(byte) = stream.read_u8().await else {
            return;
        };
        head.push(byte);
    }
    sleep(WORK).await;
    if stream.write_all(&response).await.is_err() {
        return;
    }
    if end != End::Reset && stream.shutdown().await.is_err() {
        return;
    }
    match end {
        End::Reset => stream.set_zero_linger().unwrap(),
        End::CloseThenReset => {
            sleep(CLOSE_TO_RESET).await;
            stream.set_zero_linger().unwrap();
        }
        End::Close => {
            tokio::io::copy(&mut stream, &mut tokio::io::sink())
                .await
                .ok();
        }
    }
}
