//! Requests with long bodies to a server that has no room for more bytes. That stands for one that
//! has fallen silent: in both cases sent bytes stay unacknowledged.

mod support;

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cicadagw_http::client::{Loss, Request};
use cicadagw_http::pool::Options;
use cicadagw_http::{Fields, Framing, Pool, request_head};
use support::{local, read_head};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const OPTIONS: Options = Options {
    connect_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(5),
    tcp_user_timeout: Duration::from_millis(300),
};

/// How long the server works before it reads on.
const WORK: Duration = Duration::from_millis(1_500);

/// How long an idle connection counts as alive, and a margin.
const IDLE: Duration = Duration::from_millis(200);

/// The length of a body that does not fit into the buffers of a connection, in bytes.
const BODY_BYTES: usize = 16 << 20;

const RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

const INTERIM: &str = "HTTP/1.1 102 Processing\r\n\r\n";

/// Starts a server that responds to GET at once. To POST it sends `first`, reads the body after
/// [`WORK`], and responds.
async fn start(first: &'static str) -> Rc<Pool> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream, first));
        }
    });
    Pool::new(address, OPTIONS)
}

async fn serve(mut stream: TcpStream, first: &str) -> io::Result<()> {
    loop {
        let method = stream.read_u8().await?;
        assert!(read_head(&mut stream).await);
        if method == b'P' {
            stream.write_all(first.as_bytes()).await?;
            sleep(WORK).await;
            stream.read_exact(&mut vec![0; BODY_BYTES]).await?;
        }
        stream.write_all(RESPONSE.as_bytes()).await?;
    }
}

/// Sends a request with a body of `length` bytes and returns the status of the response.
async fn send(pool: &Rc<Pool>, method: &[u8], length: usize) -> Result<u16, Loss> {
    let connection = pool.open(OPTIONS.idle_timeout).await.unwrap();
    let framing = match length {
        0 => Framing::Empty,
        length => Framing::Length(length as u64),
    };
    let request = Request {
        head: request_head(method, b"/", &Fields::default(), framing),
        method,
        buffered: Bytes::from(vec![b'x'; length]),
        streamed: None,
        has_responded: &Cell::new(false),
    };
    let mut response = connection.exchange(request, |_| true).await?;
    assert_eq!(response.body.next().await, Ok(None));
    Ok(response.head.status)
}

#[tokio::test]
async fn long_request_on_a_new_connection_waits_for_the_server() {
    let outcome = local(async {
        let pool = start("").await;
        send(&pool, b"POST", BODY_BYTES).await
    });

    assert_eq!(outcome.await, Ok(200));
}

#[tokio::test]
async fn long_request_after_a_response_waits_for_the_server() {
    let outcome = local(async {
        let pool = start("").await;
        send(&pool, b"GET", 0).await.unwrap();
        send(&pool, b"POST", BODY_BYTES).await
    });

    assert_eq!(outcome.await, Ok(200));
}

#[tokio::test]
async fn long_request_with_an_interim_response_waits_for_the_server() {
    let outcome = local(async {
        let pool = start(INTERIM).await;
        send(&pool, b"GET", 0).await.unwrap();
        sleep(IDLE).await;
        send(&pool, b"POST", BODY_BYTES).await
    });

    assert_eq!(outcome.await, Ok(200));
}

// Guards the bound on silence: an idle connection may have fallen silent without a reset.
#[tokio::test]
async fn long_request_on_an_idle_connection_without_a_response_is_lost() {
    let outcome = local(async {
        let pool = start("").await;
        send(&pool, b"GET", 0).await.unwrap();
        sleep(IDLE).await;
        timeout(WORK, send(&pool, b"POST", BODY_BYTES)).await
    });

    assert!(matches!(outcome.await, Ok(Err(_))));
}

// The timeout is lifted for one request only.
#[tokio::test]
async fn bound_on_silence_holds_again_after_a_long_request() {
    let outcome = local(async {
        let pool = start("").await;
        send(&pool, b"POST", BODY_BYTES).await.unwrap();
        sleep(IDLE).await;
        timeout(WORK, send(&pool, b"POST", BODY_BYTES)).await
    });

    assert!(matches!(outcome.await, Ok(Err(_))));
}
