//! The HTTP client: lost and truncated responses, stale responses, and reuse of connections.

mod support;

use std::time::Duration;

use cicadagw_http::body::Truncated;
use cicadagw_http::client::Loss;
use support::client::{OPTIONS, body, pool, send};
use support::{AfterResponse, local, reset_after, serve_endless, serve_responses};
use tokio::time::timeout;

/// The time within which a connection with endless bytes must end; far longer than it takes.
const ENDLESS_TIMEOUT: Duration = Duration::from_secs(10);

/// The number of bytes that a server may send before its connection ends: the size limits of the
/// client, and the buffers of the loopback device.
const ENDLESS_BYTES_MAX: usize = 32 << 20;

fn response(id: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-length: {length}\r\n\r\n{body}").into_bytes()
}

#[tokio::test]
async fn complete_response_returns_connection_to_pool() {
    local(async {
        let address = serve_responses(
            vec![response("a", "one"), response("b", "two")],
            AfterResponse::KeepOpen,
        )
        .await;
        let pool = pool(address);

        let first = body(send(&pool, "a").await.unwrap()).await;
        let idle = pool.idle();
        let second = body(send(&pool, "b").await.unwrap()).await;

        assert_eq!((first.as_deref(), idle), (Some("one"), 1));
        assert_eq!(second.as_deref(), Some("two"));
    })
    .await;
}

#[tokio::test]
async fn stale_response_is_skipped_and_connection_is_not_reused() {
    local(async {
        let both = [response("a", "stale"), response("b", "own")].concat();
        let pool = pool(serve_responses(vec![both], AfterResponse::KeepOpen).await);

        let own = body(send(&pool, "b").await.unwrap()).await;

        assert_eq!(own.as_deref(), Some("own"));
        assert_eq!(pool.idle(), 0);
    })
    .await;
}

#[tokio::test]
async fn extra_bytes_after_response_prevent_connection_reuse() {
    local(async {
        let extra = [response("a", "own"), response("a", "again")].concat();
        let pool = pool(serve_responses(vec![extra], AfterResponse::KeepOpen).await);

        let own = body(send(&pool, "a").await.unwrap()).await;

        assert_eq!(own.as_deref(), Some("own"));
        assert_eq!(pool.idle(), 0);
    })
    .await;
}

#[tokio::test]
async fn idle_connection_closed_by_server_is_not_reused() {
    local(async {
        let address = serve_responses(
            vec![response("a", "one"), response("b", "two")],
            AfterResponse::Close,
        )
        .await;
        let pool = pool(address);
        body(send(&pool, "a").await.unwrap()).await;
        // The server has closed the connection, which the client sees before it sends the next
        // request.
        tokio::time::sleep(Duration::from_millis(50)).await;

        let second = body(send(&pool, "b").await.unwrap()).await;

        assert_eq!(second.as_deref(), Some("two"));
    })
    .await;
}

#[tokio::test]
async fn truncated_response_bodies_are_detected() {
    let cases: [&[u8]; 3] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    ];
    for case in cases {
        local(async {
            let pool = pool(serve_responses(vec![case.to_vec()], AfterResponse::Close).await);

            let truncated = body(send(&pool, "a").await.unwrap()).await;

            assert_eq!(truncated, None, "{}", String::from_utf8_lossy(case));
        })
        .await;
    }
}

#[tokio::test]
async fn response_without_length_ends_at_connection_close() {
    local(async {
        let pool = pool(
            serve_responses(
                vec![b"HTTP/1.1 200 OK\r\n\r\nall".to_vec()],
                AfterResponse::Close,
            )
            .await,
        );

        let body = body(send(&pool, "a").await.unwrap()).await;

        assert_eq!(body.as_deref(), Some("all"));
        assert_eq!(pool.idle(), 0);
    })
    .await;
}

#[tokio::test]
async fn interim_responses_are_skipped() {
    local(async {
        let interim = [
            b"HTTP/1.1 102 Processing\r\n\r\n".to_vec(),
            response("a", "one"),
        ]
        .concat();
        let pool = pool(serve_responses(vec![interim], AfterResponse::KeepOpen).await);

        let body = body(send(&pool, "a").await.unwrap()).await;

        assert_eq!(body.as_deref(), Some("one"));
    })
    .await;
}

#[tokio::test]
async fn lost_response_reports_cause() {
    let cases: [(&[u8], Loss); 3] = [
        (b"", Loss::Ended),
        (b"HTTP/1.1 20", Loss::Unusable),
        (b"\x00\x01\x02 not HTTP\r\n\r\n", Loss::Unusable),
    ];
    for (bytes, expected) in cases {
        local(async {
            let pool = pool(serve_responses(vec![bytes.to_vec()], AfterResponse::Close).await);

            let loss = send(&pool, "a").await.unwrap_err();

            assert_eq!(loss, expected);
        })
        .await;
    }
}

#[tokio::test]
async fn connection_refused_fails_before_sending() {
    local(async {
        // Port 1 is never assigned to a listener by the system.
        let address = std::net::SocketAddr::from(([127, 0, 99, 1], 1));

        let opened = pool(address).open(OPTIONS.idle_timeout).await;

        assert!(opened.is_err());
    })
    .await;
}

#[tokio::test]
async fn truncated_response_without_length_stays_truncated() {
    local(async {
        let address = reset_after(b"HTTP/1.1 200 OK\r\n\r\nhalf").await;
        let mut response = send(&pool(address), "a").await.unwrap();

        let mut ends = Vec::new();
        while ends.len() < 2 {
            let next = response.body.next().await;
            if !matches!(next, Ok(Some(_))) {
                ends.push(next);
            }
        }

        assert_eq!(ends, [Err(Truncated), Err(Truncated)]);
    })
    .await;
}

/// Bytes that a faulty server may send without end in place of a response.
const ENDLESS: [(&str, &[u8], &[u8]); 6] = [
    ("status line", b"", b"HTTP"),
    ("header field", b"HTTP/1.1 200 OK\r\nfield: ", b"more"),
    ("header fields", b"HTTP/1.1 200 OK\r\n", b"field: value\r\n"),
    ("interim responses", b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    (
        "stale responses",
        b"",
        b"HTTP/1.1 200 OK\r\nid: b\r\ncontent-length: 0\r\n\r\n",
    ),
    (
        "body of a stale response",
        b"HTTP/1.1 200 OK\r\nid: b\r\ntransfer-encoding: chunked\r\n\r\n",
        b"4\r\nmore\r\n",
    ),
];

#[tokio::test]
async fn endless_bytes_in_place_of_a_response_close_the_connection() {
    local(async {
        for (what, start, repeated) in ENDLESS {
            let (address, ended) = serve_endless(start, repeated).await;

            let outcome = timeout(ENDLESS_TIMEOUT, send(&pool(address), "a")).await;

            let loss = outcome.expect(what).unwrap_err();
            assert_eq!(loss, Loss::Unusable, "{what}");
            let sent = timeout(ENDLESS_TIMEOUT, ended).await.expect(what).unwrap();
            assert!(sent < ENDLESS_BYTES_MAX, "{what}: {sent} bytes");
        }
    })
    .await;
}

#[tokio::test]
async fn endless_framing_of_a_body_truncates_it() {
    let cases: [(&str, &[u8], &[u8]); 3] = [
        ("chunk size", b"", b"0"),
        ("chunk extension", b"1;", b"extension"),
        ("trailers", b"0\r\n", b"field: value\r\n"),
    ];
    local(async {
        for (what, start, repeated) in cases {
            let head = b"HTTP/1.1 200 OK\r\nid: a\r\ntransfer-encoding: chunked\r\n\r\n";
            let (address, ended) = serve_endless(&[head, start].concat(), repeated).await;

            let response = send(&pool(address), "a").await.unwrap();
            let received = timeout(ENDLESS_TIMEOUT, body(response)).await;

            assert_eq!(received.expect(what), None, "{what}");
            let sent = timeout(ENDLESS_TIMEOUT, ended).await.expect(what).unwrap();
            assert!(sent < ENDLESS_BYTES_MAX, "{what}: {sent} bytes");
        }
    })
    .await;
}
