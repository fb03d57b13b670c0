//! Tests of the HTTP client of the object API against the fake platform.

use std::net::SocketAddr;

use actix_web::rt;
use bytes::Bytes;
use cicadagw_dev::platform::{Calls, Change, Handle, MAX_VALUE_BYTES, serve};
use cicadagw_platform::http::Client;
use cicadagw_platform::{Condition, Error, Key, Revision, Store};
use cicadagw_unit::time::Span;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// A timeout that no test reaches; a test that needs a timeout to expire sets a shorter one.
const LONG: Span = Span::seconds(60);

/// Starts a fake platform.
fn platform() -> Handle {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (server, handle) = serve(listener).unwrap();
    rt::spawn(server);
    handle
}

/// Returns a client of the platform at `addresses`.
fn client(addresses: &[SocketAddr]) -> Client {
    Client::builder().addresses(addresses).timeout(LONG).build()
}

/// Returns an address that refuses connections: port 1 is never allocated as an ephemeral port.
fn closed_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 99, 1], 1))
}

/// Starts a server that sends `response` to one request and closes the connection; returns its
/// address.
async fn server_that_responds(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = vec![stream.read_u8().await.unwrap()];
        stream.write_all(response.as_bytes()).await.unwrap();
        stream.shutdown().await.unwrap();
        stream.read_to_end(&mut request).await.unwrap();
    });
    address
}

/// Returns `text` as the value of an object.
fn value(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

#[actix_web::test]
async fn an_object_can_be_written_read_listed_and_deleted() {
    let platform = platform();
    let client = client(&[platform.address]);
    let key = Key::head();

    let revision = client
        .put(&key, value("one"), Condition::Absent)
        .await
        .unwrap();
    let read = client.get(&key).await.unwrap().unwrap();
    let keys = client.list("he").await.unwrap();
    let others = client.list(Key::STATUS_PREFIX).await.unwrap();
    client.delete(&key).await.unwrap();
    let deleted = client.get(&key).await.unwrap();

    assert_eq!((read.revision, read.value), (revision, value("one")));
    assert_eq!((keys, others), (vec![key], vec![]));
    assert_eq!(deleted, None);
}

#[actix_web::test]
async fn only_the_first_of_two_writes_on_the_same_revision_succeeds() {
    let platform = platform();
    let client = client(&[platform.address]);
    let key = Key::head();
    let first = client
        .put(&key, value("one"), Condition::Absent)
        .await
        .unwrap();

    let winner = client
        .put(&key, value("two"), Condition::Revision(first))
        .await;
    let loser = client
        .put(&key, value("three"), Condition::Revision(first))
        .await;
    let creator = client.put(&key, value("four"), Condition::Absent).await;

    assert!(winner.unwrap() > first);
    assert_eq!(loser, Err(Error::Conflict));
    assert_eq!(creator, Err(Error::Conflict));
    assert_eq!(client.get(&key).await.unwrap().unwrap().value, value("two"));
}

#[actix_web::test]
async fn a_write_without_a_response_is_unknown_although_it_took_effect() {
    let platform = platform();
    let client = client(&[platform.address]);
    platform.control(Change {
        drop_answer_of_next_put: Some(true),
        ..Change::default()
    });

    let lost = client
        .put(&Key::head(), value("one"), Condition::Absent)
        .await;
    let read = client.get(&Key::head()).await.unwrap();

    assert!(matches!(lost, Err(Error::Unknown(_))), "{lost:?}");
    assert_eq!(read.unwrap().value, value("one"));
}

#[actix_web::test]
async fn a_timeout_is_unknown_for_writes_and_unavailable_for_reads() {
    let platform = platform();
    let client = Client::builder()
        .addresses(&[platform.address])
        .timeout(Span::new(50))
        .build();
    platform.control(Change {
        delay_ms: Some(LONG.get()),
        ..Change::default()
    });

    let written = client
        .put(&Key::head(), value("one"), Condition::Always)
        .await;
    let removed = client.delete(&Key::head()).await;
    let read = client.get(&Key::head()).await;

    assert!(matches!(written, Err(Error::Unknown(_))), "{written:?}");
    assert!(matches!(removed, Err(Error::Unknown(_))), "{removed:?}");
    assert!(matches!(read, Err(Error::Unavailable(_))), "{read:?}");
}

#[actix_web::test]
async fn a_truncated_response_is_an_error() {
    let truncated = "HTTP/1.1 200 OK\r\netag: \"1\"\r\ncontent-length: 10\r\n\r\none";
    let reader = client(&[server_that_responds(truncated).await]);
    let writer = client(&[server_that_responds(truncated).await]);

    let read = reader.get(&Key::head()).await;
    let written = writer
        .put(&Key::head(), value("one"), Condition::Always)
        .await;

    assert!(matches!(read, Err(Error::Unavailable(_))), "{read:?}");
    assert!(matches!(written, Err(Error::Unknown(_))), "{written:?}");
}

#[actix_web::test]
async fn a_call_with_status_503_is_unavailable_and_writes_nothing() {
    let platform = platform();
    let client = client(&[platform.address]);
    let down = |down| Change {
        down: Some(down),
        ..Change::default()
    };
    platform.control(down(true));

    let written = client
        .put(&Key::head(), value("one"), Condition::Always)
        .await;
    platform.control(down(false));
    let read = client.get(&Key::head()).await;

    assert!(matches!(written, Err(Error::Unavailable(_))), "{written:?}");
    assert_eq!(read, Ok(None));
}

#[actix_web::test]
async fn a_refused_connection_is_unavailable_and_counts_as_no_call() {
    let client = client(&[closed_address()]);

    let written = client
        .put(&Key::head(), value("one"), Condition::Always)
        .await;

    assert!(matches!(written, Err(Error::Unavailable(_))), "{written:?}");
    assert_eq!(client.traffic().volume().calls, 0);
}

#[actix_web::test]
async fn the_next_address_is_tried_after_a_refused_connection() {
    let platform = platform();
    let client = client(&[closed_address(), platform.address]);

    let written = client
        .put(&Key::head(), value("one"), Condition::Always)
        .await;

    assert!(written.is_ok(), "{written:?}");
}

#[actix_web::test]
async fn refuse_from_fails_only_the_clients_it_names() {
    let platform = platform();
    let named = Client::builder()
        .addresses(&[platform.address])
        .agent("cicadagw/kochi-a-1/kochi-a")
        .build();
    let other = client(&[platform.address]);
    platform.control(Change {
        refuse_from: Some(vec!["kochi-a".into()]),
        ..Change::default()
    });

    let refused = named.get(&Key::head()).await;
    let served = other.get(&Key::head()).await;

    assert!(matches!(refused, Err(Error::Unavailable(_))), "{refused:?}");
    assert_eq!(served, Ok(None));
}

#[actix_web::test]
async fn a_watch_returns_the_changed_object_and_counts_as_one_call() {
    let platform = platform();
    let client = client(&[platform.address]);
    let key = Key::head();
    let first = client
        .put(&key, value("one"), Condition::Absent)
        .await
        .unwrap();

    let (seen, second) = tokio::join!(
        client.watch(&key, first, LONG),
        client.put(&key, value("two"), Condition::Revision(first)),
    );

    let seen = seen.unwrap().unwrap();
    assert_eq!((seen.revision, seen.value), (second.unwrap(), value("two")));
    let calls = Calls {
        put: 2,
        watch: 1,
        ..Calls::default()
    };
    assert_eq!(platform.stats().calls, calls);
    assert_eq!(client.traffic().volume().calls, calls.total());
}

#[actix_web::test]
async fn a_watch_without_a_change_returns_none_after_its_wait() {
    let platform = platform();
    let client = client(&[platform.address]);

    let seen = client
        .watch(&Key::head(), Revision::new(0), Span::new(20))
        .await;

    assert_eq!(seen, Ok(None));
}

#[actix_web::test]
async fn a_waiting_watch_fails_when_the_platform_goes_down() {
    let platform = platform();
    let client = client(&[platform.address]);
    let key = Key::head();
    let down = Change {
        down: Some(true),
        ..Change::default()
    };

    let (seen, ()) = tokio::join!(client.watch(&key, Revision::new(0), LONG), async {
        platform.control(down);
    });

    assert!(matches!(seen, Err(Error::Unavailable(_))), "{seen:?}");
}

#[actix_web::test]
async fn a_value_above_the_size_limit_is_rejected() {
    let platform = platform();
    let client = client(&[platform.address]);
    let largest = Bytes::from(vec![0; MAX_VALUE_BYTES]);
    let too_large = Bytes::from(vec![0; MAX_VALUE_BYTES + 1]);

    let accepted = client
        .put(&Key::head(), largest.clone(), Condition::Always)
        .await;
    let rejected = client.put(&Key::head(), too_large, Condition::Always).await;

    assert!(accepted.is_ok(), "{accepted:?}");
    assert!(matches!(rejected, Err(Error::Refused(_))), "{rejected:?}");
    let stored = client.get(&Key::head()).await.unwrap().unwrap();
    assert_eq!(stored.value, largest);
}
