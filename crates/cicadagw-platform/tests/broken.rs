//! Bytes that are no valid response, in the place of one of the platform or of another node: a read
//! fails, and it is not known whether a write took effect.

use std::net::SocketAddr;

use bytes::Bytes;
use cicadagw_platform::http::Client;
use cicadagw_platform::{Condition, Error, Key, Store};
use cicadagw_unit::time::Span;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Timeout of the client's calls.
const CALL_TIMEOUT: Span = Span::seconds(5);

/// The size of the largest value of the platform, in bytes.
const LONG_VALUE_BYTES: usize = 1 << 20;

/// Starts a server that responds to each request with `response`, and then closes the connection.
async fn start_server(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix::spawn(serve(stream, response.clone()));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, response: String) {
    let mut request = [0; 4_096];
    if stream.read(&mut request).await.is_ok_and(|read| read > 0) {
        stream.write_all(response.as_bytes()).await.ok();
    }
}

fn client(address: SocketAddr) -> Client {
    Client::builder()
        .addresses(&[address])
        .timeout(CALL_TIMEOUT)
        .build()
}

/// Returns a response with the header lines `head` that would be a success of each call.
fn response(status: &str, head: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{head}etag: \"3\"\r\ncontent-length: 2\r\n\r\n[]")
}

/// Checks that no call takes `broken` for a response.
async fn assert_lost(broken: &str) {
    let address = start_server(broken.to_owned()).await;
    let client = client(address);

    let read = client.list("node/").await;
    let written = client
        .put(&Key::head(), Bytes::from_static(b"{}"), Condition::Always)
        .await;
    let deleted = client.delete(&Key::head()).await;
    let fetched = client.fetch(address, "/snapshot").await;

    assert!(
        matches!(read, Err(Error::Unavailable(_))),
        "{broken:?}: {read:?}"
    );
    assert!(
        matches!(written, Err(Error::Unknown(_))),
        "{broken:?}: {written:?}"
    );
    assert!(
        matches!(deleted, Err(Error::Unknown(_))),
        "{broken:?}: {deleted:?}"
    );
    assert!(
        matches!(fetched, Err(Error::Unavailable(_))),
        "{broken:?}: {fetched:?}"
    );
}

#[actix::test]
async fn whole_response_is_read() {
    let address = start_server(response("200 OK", "date: now\r\n")).await;
    let client = client(address);

    let read = client.list("node/").await;
    let fetched = client.fetch(address, "/snapshot").await;

    assert_eq!(read, Ok(Vec::new()));
    assert_eq!(fetched, Ok(Bytes::from_static(b"[]")));
}

#[actix::test]
async fn status_below_100_is_no_response() {
    for status in ["000", "001", "099"] {
        assert_lost(&response(&format!("{status} OK"), "")).await;
    }
}

// The server leaves most of the long value unread, so that its end of the connection is reset.
#[actix::test]
async fn response_without_length_is_no_response() {
    let no_length = response("200 OK", "").replace("content-length: 2\r\n", "");
    assert_lost(&no_length).await;
    let client = client(start_server(no_length).await);
    let value = Bytes::from(vec![b' '; LONG_VALUE_BYTES]);

    let written = client.put(&Key::head(), value, Condition::Always).await;

    assert!(matches!(written, Err(Error::Unknown(_))), "{written:?}");
}
