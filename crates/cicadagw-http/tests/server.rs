//! The HTTP server: pipelining, cancellation, refusal of invalid requests, timeouts and draining.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use support::{Script, exchange, local, read_until, rest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// The timeout for conditions that must become true; far longer than they take.
const TIMEOUT: Duration = Duration::from_secs(10);

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

fn get_and_close(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
}

/// Serves until the returned token is cancelled; the task ends when all connections have ended.
async fn start_closable(script: &Rc<Script>) -> (SocketAddr, CancellationToken, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let token = CancellationToken::new();
    let (script, closed) = (script.clone(), token.clone());
    let serving = tokio::task::spawn_local(async move { script.serve(listener, closed).await });
    (address, token, serving)
}

#[tokio::test]
async fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
    local(async {
        let script = Script::new();
        let address = script.start().await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        let requests = get("/hold/a") + &get("/hold/b") + &get_and_close("/c");
        stream.write_all(requests.as_bytes()).await.unwrap();
        // Both requests must be running before either is released, or the test does not finish.
        script.started.notified().await;

        script.release("b");
        script.release("a");

        let responses = rest(&mut stream).await;
        let positions: Vec<_> = ["/hold/a", "/hold/b", "/c"]
            .iter()
            .map(|path| responses.find(path).unwrap())
            .collect();
        assert!(positions.is_sorted(), "{responses}");
    })
    .await;
}

#[tokio::test]
async fn client_disconnect_cancels_running_requests() {
    local(async {
        let script = Script::new();
        let address = script.start().await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        let requests = get("/hold/a") + &get("/hold/b");
        stream.write_all(requests.as_bytes()).await.unwrap();
        script.started.notified().await;

        drop(stream);

        let both_dropped = async {
            while script.dropped.get() < 2 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, both_dropped).await.unwrap();
    })
    .await;
}

#[tokio::test]
async fn invalid_request_is_refused_and_closes_connection() {
    local(async {
        let script = Script::new();
        let address = script.start().await;
        let long = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(9 << 10));
        let cases = [
            "GARBAGE\r\n\r\n",
            "POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
            "POST / HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n",
            "POST / HTTP/1.1\r\ntransfer-encoding: gzip\r\n\r\n",
            "POST / HTTP/1.1\r\ncontent-length: +1\r\n\r\n",
            &long,
        ];

        let mut lines = Vec::new();
        for case in cases {
            let response = exchange(address, case.as_bytes()).await;
            lines.push(response.lines().next().unwrap_or("nothing").to_owned());
        }

        insta::assert_debug_snapshot!(lines);
    })
    .await;
}

#[tokio::test]
async fn slow_head_gets_408_and_idle_connection_is_closed() {
    local(async {
        let script = Script::new();
        let mut limits = script.limits.get();
        limits.header_timeout = Duration::from_millis(30);
        limits.idle_timeout = Duration::from_millis(60);
        script.limits.set(limits);
        let address = script.start().await;

        let slow = exchange(address, b"GET / HT").await;
        let idle = exchange(address, b"").await;

        assert!(slow.starts_with("HTTP/1.1 408 "), "{slow}");
        assert_eq!(idle, "");
    })
    .await;
}

#[tokio::test]
async fn request_bodies_with_length_and_chunked_are_received() {
    local(async {
        let script = Script::new();
        let address = script.start().await;
        let requests = "POST /length HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc\
             POST /chunks HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nde\r\n1;x=y\r\nf\r\n0\r\nt: u\r\n\r\n"
            .to_owned()
            + &get_and_close("/end");

        let responses = exchange(address, requests.as_bytes()).await;

        for expected in ["/length abc", "/chunks def", "/end "] {
            assert!(responses.contains(expected), "{expected}: {responses}");
        }
    })
    .await;
}

#[tokio::test]
async fn response_before_end_of_long_body_closes_connection() {
    local(async {
        let script = Script::new();
        let address = script.start().await;
        let head = "POST /unread HTTP/1.1\r\ncontent-length: 200000\r\n\r\nbegin";

        let response = exchange(address, head.as_bytes()).await;

        assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
        assert!(response.contains("connection: close"), "{response}");
    })
    .await;
}

#[tokio::test]
async fn expect_continue_gets_100_continue() {
    local(async {
        let script = Script::new();
        let address = script.start().await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = b"POST /ask HTTP/1.1\r\nconnection: close\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n";
        stream.write_all(head).await.unwrap();
        let mut interim = [0; 25];
        stream.read_exact(&mut interim).await.unwrap();

        stream.write_all(b"ok").await.unwrap();

        assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
        assert!(rest(&mut stream).await.ends_with("/ask ok"));
    })
    .await;
}

#[tokio::test]
async fn draining_server_closes_only_after_last_pipelined_request() {
    local(async {
        let script = Script::new();
        script.is_draining.set(true);
        let address = script.start().await;
        let requests = get("/a") + &get("/b");

        let responses = exchange(address, requests.as_bytes()).await;

        let (first, second) = responses.split_once("/a ").unwrap();
        assert!(!first.contains("connection: close"), "{responses}");
        assert!(second.contains("connection: close"), "{responses}");
        assert!(second.ends_with("/b "), "{responses}");
    })
    .await;
}

// Guards against requests that are passed on and then cut: while the last response of a draining
// server is still being written, its client may not have seen `connection: close` yet.
#[tokio::test]
async fn request_behind_a_response_that_closes_the_connection_is_not_handled() {
    local(async {
        let script = Script::new();
        script.is_draining.set(true);
        let address = script.start().await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(get("/stream/a").as_bytes()).await.unwrap();
        let begin = read_until(&mut stream, "first").await;

        stream.write_all(get("/behind").as_bytes()).await.unwrap();
        sleep(Duration::from_millis(50)).await;
        script.release("a");

        let end = timeout(TIMEOUT, rest(&mut stream)).await.unwrap();
        assert!(begin.contains("connection: close"), "{begin}");
        assert!(end.ends_with("0\r\n\r\n"), "{end}");
        assert_eq!(script.handled.get(), 1);
    })
    .await;
}

// Guards against requests that cross the stop: a connection whose response was begun before it must
// not stay open without `connection: close` until the process is gone.
#[tokio::test]
async fn connection_that_becomes_idle_after_the_server_closed_is_closed() {
    local(async {
        let script = Script::new();
        let (address, token, serving) = start_closable(&script).await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(get("/stream/a").as_bytes()).await.unwrap();
        let begin = read_until(&mut stream, "first").await;

        script.is_draining.set(true);
        token.cancel();
        script.release("a");

        let end = timeout(Duration::from_secs(2), rest(&mut stream)).await;
        assert!(!begin.contains("connection: close"), "{begin}");
        assert!(end.unwrap().ends_with("0\r\n\r\n"));
        timeout(TIMEOUT, serving).await.unwrap().unwrap();
    })
    .await;
}

#[tokio::test]
async fn slow_request_gets_102_processing() {
    local(async {
        let script = Script::new();
        script
            .interim_response_delay
            .set(Some(Duration::from_millis(5)));
        let address = script.start().await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream
            .write_all(get_and_close("/hold/a").as_bytes())
            .await
            .unwrap();
        let mut interim = [0; 27];
        stream.read_exact(&mut interim).await.unwrap();

        script.release("a");

        assert_eq!(&interim, b"HTTP/1.1 102 Processing\r\n\r\n");
        assert!(rest(&mut stream).await.ends_with("/hold/a "));
    })
    .await;
}

#[tokio::test]
async fn connections_in_backlog_are_answered_when_the_listener_closes() {
    local(async {
        let script = Script::new();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut clients = Vec::new();
        for _ in 0..20 {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(get("/a").as_bytes()).await.unwrap();
            clients.push(stream);
        }
        let token = CancellationToken::new();
        script.is_draining.set(true);
        token.cancel();

        timeout(TIMEOUT, script.serve(listener, token))
            .await
            .unwrap();

        for mut stream in clients {
            let response = rest(&mut stream).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
    })
    .await;
}

#[tokio::test]
async fn closing_server_completes_responses_and_closes_idle_connections() {
    local(async {
        let script = Script::new();
        let (address, token, serving) = start_closable(&script).await;
        let mut idle = TcpStream::connect(address).await.unwrap();
        let mut busy = TcpStream::connect(address).await.unwrap();
        let request = get("/hold/a");
        busy.write_all(request.as_bytes()).await.unwrap();
        script.started.notified().await;
        script.is_draining.set(true);

        token.cancel();

        let until_idle_closes = timeout(TIMEOUT, rest(&mut idle)).await;
        assert_eq!(until_idle_closes.unwrap(), "");
        assert!(!serving.is_finished());
        script.release("a");
        let response = timeout(TIMEOUT, rest(&mut busy)).await.unwrap();
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        drop(busy);
        timeout(TIMEOUT, serving).await.unwrap().unwrap();
    })
    .await;
}
