//! Requests of one connection run side by side and are answered in order; a client that leaves stops
//! its requests; what no server takes is refused in words.

mod support;

use std::time::Duration;

use support::{Script, local, rest, talk};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How long a test waits for what must happen; far more than it takes.
const AMPLE: Duration = Duration::from_secs(10);

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

fn last(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
}

#[tokio::test]
async fn requests_of_one_connection_run_side_by_side_and_are_answered_in_order() {
    local(async {
        let script = Script::new();
        let address = script.start().await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        let requests = get("/hold/a") + &get("/hold/b") + &last("/c");
        stream.write_all(requests.as_bytes()).await.unwrap();
        // Both must have begun before either is let, or the test would not end.
        script.began.notified().await;

        script.let_go("b");
        script.let_go("a");

        let answers = rest(&mut stream).await;
        let places: Vec<_> = ["/hold/a", "/hold/b", "/c"]
            .iter()
            .map(|path| answers.find(path).unwrap())
            .collect();
        assert!(places.is_sorted(), "{answers}");
    })
    .await;
}

#[tokio::test]
async fn a_client_that_leaves_stops_its_requests() {
    local(async {
        let script = Script::new();
        let address = script.start().await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        let requests = get("/hold/a") + &get("/hold/b");
        stream.write_all(requests.as_bytes()).await.unwrap();
        script.began.notified().await;

        drop(stream);

        let gone = async {
            while script.dropped.get() < 2 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::time::timeout(AMPLE, gone).await.unwrap();
    })
    .await;
}

#[tokio::test]
async fn what_cannot_be_read_is_refused_and_ends_the_connection() {
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
            let answer = talk(address, case.as_bytes()).await;
            lines.push(answer.lines().next().unwrap_or("nothing").to_owned());
        }

        insta::assert_debug_snapshot!(lines);
    })
    .await;
}

#[tokio::test]
async fn a_head_that_takes_too_long_is_refused_and_an_idle_connection_is_closed() {
    local(async {
        let script = Script::new();
        let mut limits = script.limits.get();
        limits.header_timeout = Duration::from_millis(30);
        limits.idle_timeout = Duration::from_millis(60);
        script.limits.set(limits);
        let address = script.start().await;

        let slow = talk(address, b"GET / HT").await;
        let idle = talk(address, b"").await;

        assert!(slow.starts_with("HTTP/1.1 408 "), "{slow}");
        assert_eq!(idle, "");
    })
    .await;
}

#[tokio::test]
async fn bodies_come_with_a_length_and_in_chunks() {
    local(async {
        let script = Script::new();
        let address = script.start().await;
        let requests = "POST /length HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc\
             POST /chunks HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nde\r\n1;x=y\r\nf\r\n0\r\nt: u\r\n\r\n"
            .to_owned()
            + &last("/end");

        let answers = talk(address, requests.as_bytes()).await;

        for wanted in ["/length abc", "/chunks def", "/end "] {
            assert!(answers.contains(wanted), "{wanted}: {answers}");
        }
    })
    .await;
}

#[tokio::test]
async fn an_answer_before_the_end_of_a_long_body_ends_the_connection() {
    local(async {
        let script = Script::new();
        let address = script.start().await;
        let head = "POST /unread HTTP/1.1\r\ncontent-length: 200000\r\n\r\nbegin";

        let answer = talk(address, head.as_bytes()).await;

        assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
    })
    .await;
}

#[tokio::test]
async fn a_client_that_asks_is_told_to_send_its_body() {
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
async fn a_leaving_server_closes_behind_the_last_request_only() {
    local(async {
        let script = Script::new();
        script.is_draining.set(true);
        let address = script.start().await;
        let requests = get("/a") + &get("/b");

        let answers = talk(address, requests.as_bytes()).await;

        let (first, second) = answers.split_once("/a ").unwrap();
        assert!(!first.contains("connection: close"), "{answers}");
        assert!(second.contains("connection: close"), "{answers}");
        assert!(second.ends_with("/b "), "{answers}");
    })
    .await;
}

#[tokio::test]
async fn a_request_that_takes_long_is_confirmed() {
    local(async {
        let script = Script::new();
        script
            .interim_response_delay
            .set(Some(Duration::from_millis(5)));
        let address = script.start().await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(last("/hold/a").as_bytes()).await.unwrap();
        let mut interim = [0; 27];
        stream.read_exact(&mut interim).await.unwrap();

        script.let_go("a");

        assert_eq!(&interim, b"HTTP/1.1 102 Processing\r\n\r\n");
        assert!(rest(&mut stream).await.ends_with("/hold/a "));
    })
    .await;
}
