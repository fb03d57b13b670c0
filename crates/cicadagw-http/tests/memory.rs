//! Memory of requests that have not been dispatched.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cicadagw_http::Ledger;
use cicadagw_http::server::{Connections, serve_within};
use support::{Script, exchange, local, read_until};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// The memory budget of the tests, in bytes.
const BUDGET: usize = 32 << 10;

/// The length of the unfinished part of a request that does not fit the budget, in bytes.
const UNFINISHED_BYTES: usize = 48_000;

/// The memory that is counted for a connection, in bytes.
const CONNECTION_BYTES: usize = 4 << 10;

/// The minimum size of a read buffer that is in use, in bytes.
const READ_BYTES: usize = 4 << 10;

/// The timeout for conditions that must become true; far longer than they take.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Serves `script` with the budget of the tests, and returns the address.
async fn start(script: &Rc<Script>, ledger: &Rc<Ledger>) -> SocketAddr {
    let mut limits = script.limits.get();
    limits.head = 64 << 10;
    script.limits.set(limits);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let open = Rc::new(Connections::new(100, ledger.clone()));
    let serving = serve_within(listener, script.clone(), CancellationToken::new(), open);
    tokio::task::spawn_local(serving);
    address
}

fn ledger() -> Rc<Ledger> {
    Rc::new(Ledger::new(BUDGET, 10))
}

/// Waits until `bytes` or more are held.
async fn until_held(ledger: &Ledger, bytes: usize) {
    let held = async {
        while ledger.held() < bytes {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(TIMEOUT, held).await.unwrap();
}

#[tokio::test]
async fn half_head_is_refused_once_memory_is_full() {
    local(async {
        let script = Script::new();
        let address = start(&script, &ledger()).await;
        let half = format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(UNFINISHED_BYTES));

        let response = exchange(address, half.as_bytes()).await;

        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    })
    .await;
}

#[tokio::test]
async fn unfinished_body_that_is_buffered_is_refused_unrun_once_memory_is_full() {
    local(async {
        let script = Script::new();
        let address = start(&script, &ledger()).await;
        let head = "POST / HTTP/1.1\r\ncontent-length: 60000\r\n\r\n".to_owned();
        let half = head + &"y".repeat(UNFINISHED_BYTES);

        let response = exchange(address, half.as_bytes()).await;

        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        assert_eq!(script.handled.get(), 0);
    })
    .await;
}

#[tokio::test]
async fn longer_body_is_streamed_when_memory_is_tight() {
    local(async {
        let script = Script::new();
        let ledger = ledger();
        let address = start(&script, &ledger).await;
        let _held = ledger.hold(BUDGET / 2);
        let mut stream = TcpStream::connect(address).await.unwrap();

        let head = "POST / HTTP/1.1\r\ncontent-length: 20000\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();

        let started = timeout(TIMEOUT, script.started.notified()).await;
        assert!(started.is_ok(), "the request was not dispatched");
    })
    .await;
}

#[tokio::test]
async fn read_buffer_counts_from_the_first_byte_of_a_request() {
    local(async {
        let script = Script::new();
        let ledger = ledger();
        let address = start(&script, &ledger).await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        until_held(&ledger, CONNECTION_BYTES).await;
        let idle = ledger.held();

        stream.write_all(b"G").await.unwrap();

        until_held(&ledger, CONNECTION_BYTES + READ_BYTES).await;
        assert_eq!(idle, CONNECTION_BYTES);
    })
    .await;
}

#[tokio::test]
async fn connection_holds_no_buffer_after_its_last_response() {
    local(async {
        let script = Script::new();
        let ledger = ledger();
        let address = start(&script, &ledger).await;
        let mut stream = TcpStream::connect(address).await.unwrap();

        let request = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(request).await.unwrap();
        read_until(&mut stream, "/a ").await;

        let released = async {
            while ledger.held() > CONNECTION_BYTES {
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(TIMEOUT, released).await.unwrap();
    })
    .await;
}

#[tokio::test]
async fn long_head_of_a_request_in_flight_counts_in_full() {
    local(async {
        let script = Script::new();
        let ledger = Rc::new(Ledger::new(1 << 20, 10));
        let address = start(&script, &ledger).await;
        let mut stream = TcpStream::connect(address).await.unwrap();

        let long = "y".repeat(UNFINISHED_BYTES);
        let request = format!("GET /hold/a HTTP/1.1\r\nx: {long}\r\n\r\n");
        stream.write_all(request.as_bytes()).await.unwrap();
        script.started.notified().await;

        assert!(ledger.held() >= CONNECTION_BYTES + UNFINISHED_BYTES);
    })
    .await;
}
