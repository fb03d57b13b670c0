//! The HTTP client tells the outcomes of its calls apart; the stand-in keeps to the object API.

use std::net::SocketAddr;

use actix_web::rt;
use bytes::Bytes;
use cicadagw_dev::platform::{Calls, Change, Handle, VALUE_MAX, serve};
use cicadagw_platform::http::Client;
use cicadagw_platform::{Condition, Error, Key, Revision, Store};
use cicadagw_unit::time::Span;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Far longer than any test takes; a test that needs a wait to end names its own.
const LONG: Span = Span::seconds(60);

fn platform() -> Handle {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (server, handle) = serve(listener).unwrap();
    rt::spawn(server);
    handle
}

fn client(addresses: &[SocketAddr]) -> Client {
    Client::builder().addresses(addresses).answer(LONG).build()
}

/// Returns an address at which nothing listens: a system hands port 1 out to nobody.
fn closed_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 99, 1], 1))
}

/// Returns the address of a platform that gives `answer` to one call and ends the connection.
async fn platform_that_answers(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = vec![stream.read_u8().await.unwrap()];
        stream.write_all(answer.as_bytes()).await.unwrap();
        stream.shutdown().await.unwrap();
        stream.read_to_end(&mut request).await.unwrap();
    });
    address
}

fn value(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

#[actix_web::test]
async fn an_object_is_written_read_listed_and_removed() {
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
    let gone = client.get(&key).await.unwrap();

    assert_eq!((read.revision, read.value), (revision, value("one")));
    assert_eq!((keys, others), (vec![key], vec![]));
    assert_eq!(gone, None);
}

#[actix_web::test]
async fn of_two_writers_at_one_revision_one_wins() {
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
async fn a_write_whose_answer_is_lost_is_unknown_and_took_effect() {
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
async fn an_answer_that_takes_too_long_is_unknown_for_writes_alone() {
    let platform = platform();
    let client = Client::builder()
        .addresses(&[platform.address])
        .answer(Span::new(50))
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
async fn an_answer_that_is_cut_is_not_passed_off_as_whole() {
    let cut = "HTTP/1.1 200 OK\r\netag: \"1\"\r\ncontent-length: 10\r\n\r\none";
    let reader = client(&[platform_that_answers(cut).await]);
    let writer = client(&[platform_that_answers(cut).await]);

    let read = reader.get(&Key::head()).await;
    let written = writer
        .put(&Key::head(), value("one"), Condition::Always)
        .await;

    assert!(matches!(read, Err(Error::Unavailable(_))), "{read:?}");
    assert!(matches!(written, Err(Error::Unknown(_))), "{written:?}");
}

#[actix_web::test]
async fn a_platform_that_is_down_is_unavailable_and_writes_nothing() {
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
async fn a_platform_that_refuses_connections_is_unavailable() {
    let client = client(&[closed_address()]);

    let written = client
        .put(&Key::head(), value("one"), Condition::Always)
        .await;

    assert!(matches!(written, Err(Error::Unavailable(_))), "{written:?}");
    assert_eq!(client.traffic().volume().calls, 0);
}

#[actix_web::test]
async fn the_next_address_is_tried_when_no_connection_is_made() {
    let platform = platform();
    let client = client(&[closed_address(), platform.address]);

    let written = client
        .put(&Key::head(), value("one"), Condition::Always)
        .await;

    assert!(written.is_ok(), "{written:?}");
}

#[actix_web::test]
async fn a_client_that_is_cut_off_is_refused_alone() {
    let platform = platform();
    let cut = Client::builder()
        .addresses(&[platform.address])
        .agent("cicadagw/kochi-a-1/kochi-a")
        .build();
    let other = client(&[platform.address]);
    platform.control(Change {
        refuse_from: Some(vec!["kochi-a".into()]),
        ..Change::default()
    });

    let refused = cut.get(&Key::head()).await;
    let served = other.get(&Key::head()).await;

    assert!(matches!(refused, Err(Error::Unavailable(_))), "{refused:?}");
    assert_eq!(served, Ok(None));
}

#[actix_web::test]
async fn a_watch_returns_on_a_change_and_is_one_call() {
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
async fn a_watch_without_a_change_ends_with_nothing() {
    let platform = platform();
    let client = client(&[platform.address]);

    let seen = client.watch(&Key::head(), Revision(0), Span::new(20)).await;

    assert_eq!(seen, Ok(None));
}

#[actix_web::test]
async fn a_watch_ends_when_the_platform_goes_down() {
    let platform = platform();
    let client = client(&[platform.address]);
    let key = Key::head();
    let down = Change {
        down: Some(true),
        ..Change::default()
    };

    let (seen, ()) = tokio::join!(client.watch(&key, Revision(0), LONG), async {
        platform.control(down);
    });

    assert!(matches!(seen, Err(Error::Unavailable(_))), "{seen:?}");
}

#[actix_web::test]
async fn a_value_above_a_megabyte_is_refused() {
    let platform = platform();
    let client = client(&[platform.address]);
    let longest = Bytes::from(vec![0; VALUE_MAX]);
    let too_long = Bytes::from(vec![0; VALUE_MAX + 1]);

    let taken = client
        .put(&Key::head(), longest.clone(), Condition::Always)
        .await;
    let refused = client.put(&Key::head(), too_long, Condition::Always).await;

    assert!(taken.is_ok(), "{taken:?}");
    assert!(matches!(refused, Err(Error::Refused(_))), "{refused:?}");
    let held = client.get(&Key::head()).await.unwrap().unwrap();
    assert_eq!(held.value, longest);
}
