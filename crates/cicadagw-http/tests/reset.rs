//! Responses to requests that are still being sent, on connections that end meanwhile: a response
//! without a length is complete only if the server closed the connection in order.

mod support;

use std::cell::Cell;
use std::time::Duration;

use bytes::Bytes;
use cicadagw_http::body::{self, Sender};
use cicadagw_http::client::{Loss, Request, Response};
use cicadagw_http::{Fields, Framing, request_head};
use support::client::{OPTIONS, body, is_ours, pool};
use support::{local, read_head};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

/// The size of a request body that does not fit into the buffers of a connection, in bytes.
const LONG_BODY_BYTES: usize = 16 << 20;

const INTERIM: &str = "HTTP/1.1 102 Processing\r\n\r\n";

/// A complete stale response.
const STALE: &str = "HTTP/1.1 200 OK\r\nid: old\r\ncontent-length: 5\r\n\r\nstale";

/// A response whose body ends with the connection.
const NO_LENGTH: &str = "HTTP/1.1 200 OK\r\nid: a\r\n\r\npart";

/// The time in which the client reads what it has received.
const READ_DELAY: Duration = Duration::from_millis(5);

/// What may precede the expected response on a connection.
const BEFORE: [&str; 3] = ["", INTERIM, STALE];

/// How the server ends the connection.
#[derive(Clone, Copy, Debug)]
enum End {
    /// It resets the connection.
    Reset,
    /// It closes its side in order, and then resets the connection.
    CloseThenReset,
    /// It closes its side in order.
    Close,
}

/// A request whose body is still being sent.
struct Upload {
    /// The end of the server, which has read the head of the request.
    server: TcpStream,
    /// The source of the rest of the body.
    source: Sender,
    exchange: JoinHandle<Result<Response, Loss>>,
}

impl Upload {
    /// Starts to send a request whose body starts with `buffered`.
    async fn start(buffered: Bytes) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (source, mut rest) = body::channel();
        let exchange = spawn_local(async move {
            let connection = pool(address).open(OPTIONS.idle_timeout).await.unwrap();
            let request = Request {
                head: request_head(b"POST", b"/", &Fields::default(), Framing::Chunked),
                method: b"POST",
                buffered,
                streamed: Some((&mut rest, Framing::Chunked)),
                has_responded: &Cell::new(false),
            };
            connection
                .exchange(request, |head| is_ours(head, "a"))
                .await
        });
        let (mut server, _) = listener.accept().await.unwrap();
        assert!(read_head(&mut server).await);
        server.writable().await.unwrap();
        Self {
            server,
            source,
            exchange,
        }
    }

    async fn respond(&mut self, bytes: &str) {
        self.server.write_all(bytes.as_bytes()).await.unwrap();
    }

    /// Ends the connection and lets the client send more of its body, all before it runs again.
    async fn end(mut self, end: End) -> JoinHandle<Result<Response, Loss>> {
        if matches!(end, End::Close | End::CloseThenReset) {
            self.server.shutdown().await.unwrap();
        }
        if matches!(end, End::Reset | End::CloseThenReset) {
            self.server.set_zero_linger().unwrap();
        }
        drop(self.server);
        self.source.send("more".into()).await.ok();
        self.exchange
    }
}

/// Returns the outcome of an exchange: the status and the body, which is `None` if it was truncated.
async fn outcome(
    exchange: JoinHandle<Result<Response, Loss>>,
) -> Result<(u16, Option<String>), Loss> {
    let response = exchange.await.unwrap()?;
    Ok((response.head.status, body(response).await))
}

fn short() -> Bytes {
    Bytes::from_static(b"start")
}

fn long() -> Bytes {
    Bytes::from(vec![b'x'; LONG_BODY_BYTES])
}

// Guards against a response that is reset while the request is being sent: the write that noticed
// the reset took the error off the socket, and the rest of the connection looked closed in order.
#[tokio::test]
async fn response_without_length_that_is_reset_while_the_request_is_sent_is_truncated() {
    for start in [short, long] {
        for before in BEFORE {
            let outcome = local(async {
                let mut upload = Upload::start(start()).await;
                upload.respond(&format!("{before}{NO_LENGTH}")).await;
                outcome(upload.end(End::Reset).await).await
            });

            assert_eq!(outcome.await, Ok((200, None)), "{before:?}");
        }
    }
}

#[tokio::test]
async fn response_whose_head_arrives_in_part_before_the_reset_is_truncated() {
    for length in 1..NO_LENGTH.len() {
        let outcome = local(async {
            let mut upload = Upload::start(short()).await;
            upload.respond(&NO_LENGTH[..length]).await;
            sleep(READ_DELAY).await;
            upload.respond(&NO_LENGTH[length..]).await;
            outcome(upload.end(End::Reset).await).await
        });

        assert_eq!(outcome.await, Ok((200, None)), "after {length} bytes");
    }
}

#[tokio::test]
async fn response_whose_head_is_read_before_the_reset_is_truncated() {
    for start in [short, long] {
        for before in BEFORE {
            let outcome = local(async {
                let mut upload = Upload::start(start()).await;
                upload.respond(&format!("{before}{NO_LENGTH}")).await;
                let response = (&mut upload.exchange).await.unwrap().unwrap();
                upload.end(End::Reset).await;
                body(response).await
            });

            assert_eq!(outcome.await, None, "{before:?}");
        }
    }
}

#[tokio::test]
async fn reset_within_the_head_is_a_loss() {
    let head_length = NO_LENGTH.len() - "part".len();
    for length in 0..head_length {
        let outcome = local(async {
            let mut upload = Upload::start(short()).await;
            upload.respond(&NO_LENGTH[..length]).await;
            outcome(upload.end(End::Reset).await).await
        });

        let expected = match length {
            0 => Loss::Ended,
            _ => Loss::Unusable,
        };
        assert_eq!(outcome.await, Err(expected), "after {length} bytes");
    }
}

// A server that rejects a long request closes its connection, and resets it if the client goes on.
#[tokio::test]
async fn whole_response_is_received_while_the_request_is_sent() {
    let length = "HTTP/1.1 413 Too Long\r\nid: a\r\ncontent-length: 4\r\n\r\npart";
    let chunks = "HTTP/1.1 413 Too Long\r\nid: a\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n";
    let no_length = "HTTP/1.1 413 Too Long\r\nid: a\r\n\r\npart";
    let cases = [
        (length, End::Reset),
        (length, End::CloseThenReset),
        (chunks, End::Reset),
        (chunks, End::CloseThenReset),
        (no_length, End::CloseThenReset),
        (no_length, End::Close),
    ];
    for start in [short, long] {
        for (response, end) in cases {
            for before in BEFORE {
                let outcome = local(async {
                    let mut upload = Upload::start(start()).await;
                    upload.respond(&format!("{before}{response}")).await;
                    outcome(upload.end(end).await).await
                });

                let whole = Ok((413, Some("part".to_owned())));
                assert_eq!(outcome.await, whole, "{before:?} {response:?} {end:?}");
            }
        }
    }
}
