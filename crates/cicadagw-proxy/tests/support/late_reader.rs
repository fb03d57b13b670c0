//! A backend server that works for a while before it reads the body of a request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use cicadagw_http::{Decoder, Step};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// The maximum size of a request head, in bytes.
const HEAD_BYTES_MAX: usize = 8 << 10;

/// Starts a server that works for `work` after each request head, and then responds with the length
/// of the body; returns its address.
pub async fn start(work: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, work));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, work: Duration) {
    let mut buffer = BytesMut::new();
    while let Some(length) = read(&mut stream, &mut buffer, work).await {
        let text = length.to_string();
        let size = text.len();
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n{text}");
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Reads a request; returns the length of its body, or `None` if the connection ends before.
async fn read(stream: &mut TcpStream, buffer: &mut BytesMut, work: Duration) -> Option<usize> {
    let head = loop {
        let head = cicadagw_http::request(buffer, HEAD_BYTES_MAX).unwrap();
        match head {
            Some(head) => break head,
            None if stream.read_buf(buffer).await.ok()? == 0 => return None,
            None => {}
        }
    };
    sleep(work).await;
    let mut decoder = Decoder::new(head.framing);
    let mut length = 0;
    loop {
        match decoder.step(buffer).unwrap() {
            Step::Data(data) => length += data.len(),
            Step::Done => return Some(length),
            Step::More if stream.read_buf(buffer).await.ok()? == 0 => return None,
            Step::More => {}
        }
    }
}
