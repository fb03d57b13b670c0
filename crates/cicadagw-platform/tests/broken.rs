//! Bytes that are no valid response, in the place of one of the platform or of another node: a read
//! fails, and it is not known whether a write took effect.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cicadagw_platform::http::Client;
use cicadagw_platform::{Condition, Error, Key, Revision, Store};
use cicadagw_unit::time::Span;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Timeout of the client's calls.
const CALL_TIMEOUT: Span = Span::seconds(5);

/// The time between two pieces of a response.
const PIECE_INTERVAL: Duration = Duration::from_millis(1);

/// The size of the largest value of the platform, in bytes.
const LONG_VALUE_BYTES: usize = 1 << 20;

/// How a server sends its response and ends the connection.
#[derive(Clone, Copy)]
enum Manner {
    /// It sends pieces of this many bytes, and closes the connection in order.
    Pieces(usize),
    /// It sends the response before it has read the whole request, and resets the connection.
    Reset,
}

/// Starts a server that responds to each request with `response`.
async fn start_server(response: String, manner: Manner) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            actix::spawn(serve(stream, response.clone(), manner));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, response: String, manner: Manner) {
    let mut request = [0; 4_096];
    if !stream.read(&mut request).await.is_ok_and(|read| read > 0) {
        return;
    }
    match manner {
        Manner::Pieces(length) => {
            for piece in response.as_bytes().chunks(length) {
                stream.write_all(piece).await.ok();
                sleep(PIECE_INTERVAL).await;
            }
            stream.shutdown().await.ok();
            while stream.read(&mut request).await.is_ok_and(|read| read > 0) {}
        }
        Manner::Reset => {
            stream.write_all(response.as_bytes()).await.ok();
            stream.set_zero_linger().unwrap();
        }
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
    for manner in [Manner::Pieces(broken.len()), Manner::Reset] {
        let address = start_server(broken.to_owned(), manner).await;
        let client = client(address);
        let head = Key::head();
        let put = |value| client.put(&head, value, Condition::Always);

        let read = client.list("node/").await;
        let fetched = client.fetch(address, "/snapshot").await;
        let written = [
            put(Bytes::from_static(b"{}")).await.map(|_| ()),
            put(Bytes::from(vec![b' '; LONG_VALUE_BYTES]))
                .await
                .map(|_| ()),
            client.delete(&head).await,
        ];

        for outcome in [read.map(|_| ()), fetched.map(|_| ())] {
            let is_lost = matches!(outcome, Err(Error::Unavailable(_)));
            assert!(is_lost, "{broken:?}: {outcome:?}");
        }
        for outcome in written {
            let is_lost = matches!(outcome, Err(Error::Unknown(_)));
            assert!(is_lost, "{broken:?}: {outcome:?}");
        }
    }
}

#[actix::test]
async fn whole_response_is_read() {
    let whole = response("200 OK", "connection: close\r\n");
    for length in [1, 2, 3, whole.len()] {
        let address = start_server(whole.clone(), Manner::Pieces(length)).await;
        let client = client(address);

        let read = client.list("node/").await;
        let written = client
            .put(&Key::head(), Bytes::from_static(b"{}"), Condition::Always)
            .await;
        let fetched = client.fetch(address, "/snapshot").await;

        assert_eq!(read, Ok(Vec::new()));
        assert_eq!(written, Ok(Revision::new(3)));
        assert_eq!(fetched, Ok(Bytes::from_static(b"[]")));
    }
}

#[actix::test]
async fn status_below_100_is_no_response() {
    for status in ["000", "001", "099"] {
        assert_lost(&response(&format!("{status} OK"), "")).await;
    }
}

// Guards against a head that is no valid one: the HTTP library strips whitespace at the end of a
// name, and ends a head at a line feed.
#[actix::test]
async fn head_with_invalid_field_name_is_no_response() {
    for byte in [' ', '\t', '\0', '\x01', '\n', '\r', '\x1f', '\x7f'] {
        for name in [
            format!("{byte}bad"),
            format!("b{byte}ad"),
            format!("bad{byte}"),
        ] {
            let line = format!("{name}: value\r\n");
            let last = response("200 OK", "").replace("\r\n\r\n", &format!("\r\n{line}\r\n"));
            assert_lost(&response("200 OK", &line)).await;
            assert_lost(&last).await;
        }
    }
    assert_lost(&response("200 OK", "").replace("content-length:", "content-length :")).await;
}

#[actix::test]
async fn response_without_length_is_no_response() {
    let whole = response("200 OK", "");
    assert_lost(&whole.replace("content-length: 2\r\n", "")).await;
}
