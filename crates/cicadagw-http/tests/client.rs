//! A client tells what was lost, what belongs to another request, and which connection is not to be
//! used again.

mod support;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cicadagw_http::client::{Answer, Loss, Request};
use cicadagw_http::pool::Options;
use cicadagw_http::{Fields, Framing, Pool, Response, request_head};
use support::{answering, local};

const OPTIONS: Options = Options {
    connect_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(5),
    tcp_user_timeout: Duration::from_secs(5),
};

fn pool(address: SocketAddr) -> Rc<Pool> {
    Pool::new(address, OPTIONS)
}

/// Sends a request whose answer must name `id`, if it names one.
async fn send(pool: &Rc<Pool>, id: &'static str) -> Result<Answer, Loss> {
    let connection = pool.open(OPTIONS.idle_timeout).await.unwrap();
    let is_responsive = Cell::new(false);
    let request = Request {
        head: request_head(b"GET", b"/", &Fields::default(), Framing::Empty),
        method: b"GET",
        buffered: Bytes::new(),
        streamed: None,
        is_responsive: &is_responsive,
    };
    let is_ours = |head: &Response| head.fields.get("id").is_none_or(|held| held == id);
    connection.exchange(request, is_ours).await
}

/// Returns the body of an answer, or `None` if it was cut.
async fn body(mut answer: Answer) -> Option<String> {
    let mut whole = Vec::new();
    loop {
        match answer.body.next().await {
            Ok(Some(part)) => whole.extend_from_slice(&part),
            Ok(None) => return Some(String::from_utf8(whole).unwrap()),
            Err(_) => return None,
        }
    }
}

fn answer(id: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-length: {length}\r\n\r\n{body}").into_bytes()
}

#[tokio::test]
async fn a_connection_is_used_again_after_a_whole_answer() {
    local(async {
        let address = answering(vec![answer("a", "one"), answer("b", "two")], true).await;
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
async fn an_answer_to_another_request_is_passed_over_and_its_connection_not_kept() {
    local(async {
        let both = [answer("late", "stale"), answer("b", "mine")].concat();
        let pool = pool(answering(vec![both], true).await);

        let own = body(send(&pool, "b").await.unwrap()).await;

        assert_eq!(own.as_deref(), Some("mine"));
        assert_eq!(pool.idle(), 0);
    })
    .await;
}

#[tokio::test]
async fn bytes_behind_a_whole_answer_belong_to_nobody() {
    local(async {
        let extra = [answer("a", "mine"), answer("a", "again")].concat();
        let pool = pool(answering(vec![extra], true).await);

        let own = body(send(&pool, "a").await.unwrap()).await;

        assert_eq!(own.as_deref(), Some("mine"));
        assert_eq!(pool.idle(), 0);
    })
    .await;
}

#[tokio::test]
async fn an_idle_connection_that_brings_bytes_is_not_used() {
    local(async {
        let address = answering(vec![answer("a", "one"), answer("b", "two")], false).await;
        let pool = pool(address);
        body(send(&pool, "a").await.unwrap()).await;
        // The server has closed: its end shows on the idle connection before the next request.
        tokio::time::sleep(Duration::from_millis(50)).await;

        let second = body(send(&pool, "b").await.unwrap()).await;

        assert_eq!(second.as_deref(), Some("two"));
    })
    .await;
}

#[tokio::test]
async fn cut_answers_are_seen_as_cut() {
    let cases: [&[u8]; 3] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    ];
    for case in cases {
        local(async {
            let pool = pool(answering(vec![case.to_vec()], false).await);

            let cut = body(send(&pool, "a").await.unwrap()).await;

            assert_eq!(cut, None, "{}", String::from_utf8_lossy(case));
        })
        .await;
    }
}

#[tokio::test]
async fn an_answer_without_a_length_ends_with_its_connection() {
    local(async {
        let pool = pool(answering(vec![b"HTTP/1.1 200 OK\r\n\r\nall".to_vec()], false).await);

        let whole = body(send(&pool, "a").await.unwrap()).await;

        assert_eq!(whole.as_deref(), Some("all"));
        assert_eq!(pool.idle(), 0);
    })
    .await;
}

#[tokio::test]
async fn interim_answers_are_passed_over() {
    local(async {
        let interim = [
            b"HTTP/1.1 102 Processing\r\n\r\n".to_vec(),
            answer("a", "one"),
        ]
        .concat();
        let pool = pool(answering(vec![interim], true).await);

        let whole = body(send(&pool, "a").await.unwrap()).await;

        assert_eq!(whole.as_deref(), Some("one"));
    })
    .await;
}

#[tokio::test]
async fn a_lost_answer_says_how_it_was_lost() {
    let cases: [(&[u8], Loss); 3] = [
        (b"", Loss::Ended),
        (b"HTTP/1.1 20", Loss::Malformed),
        (b"\x00\x01\x02 no answer\r\n\r\n", Loss::Malformed),
    ];
    for (bytes, wanted) in cases {
        local(async {
            let pool = pool(answering(vec![bytes.to_vec()], false).await);

            let loss = send(&pool, "a").await.unwrap_err();

            assert_eq!(loss, wanted);
        })
        .await;
    }
}

#[tokio::test]
async fn where_nobody_listens_nothing_was_sent() {
    local(async {
        // A system hands port 1 out to nobody.
        let address = std::net::SocketAddr::from(([127, 0, 99, 1], 1));

        let opened = pool(address).open(OPTIONS.idle_timeout).await;

        assert!(opened.is_err());
    })
    .await;
}
