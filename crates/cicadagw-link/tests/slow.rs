//! A child that does not read is closed, and the others go on.

mod fixture;

use std::sync::Arc;

use cicadagw_config::{Secret, secret};
use cicadagw_link::Limits;
use cicadagw_unit::size::Bytes;
use cicadagw_wire::link::{Command, Event};
use cicadagw_wire::{Down, Hello};
use fixture::{DIALLED, Duty, RING_CAPACITY, beat, duty, hello, join, narrow, snapshot};
use jsonrpsee::core::client::{ClientT, Subscription, SubscriptionClientT};
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const HANDSHAKE: &str = "GET / HTTP/1.1\r\nHost: parent\r\nUpgrade: websocket\r\n\
    Connection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\
    Sec-WebSocket-Version: 13\r\n\r\n";

/// Returns a text frame of a client, masked with zeros.
fn frame(text: &str) -> Vec<u8> {
    let size = u16::try_from(text.len()).unwrap().to_be_bytes();
    let mut frame = vec![0x81, 0xfe, size[0], size[1], 0, 0, 0, 0];
    frame.extend_from_slice(text.as_bytes());
    frame
}

/// Reads one text frame of a server that is shorter than 64 KB.
async fn read_frame(stream: &mut TcpStream) -> String {
    assert_eq!(stream.read_u8().await.unwrap(), 0x81);
    let size = match stream.read_u8().await.unwrap() {
        126 => stream.read_u16().await.unwrap(),
        size => size.into(),
    };
    let mut text = vec![0; size.into()];
    stream.read_exact(&mut text).await.unwrap();
    String::from_utf8(text).unwrap()
}

fn join_call(hello: &Hello) -> String {
    let call = serde_json::json!({
        "jsonrpc": "2.0", "id": 1, "method": "link_join", "params": [hello],
    });
    call.to_string()
}

/// Joins over a bare connection, which the test need not read.
async fn join_bare(parent: &Duty) -> TcpStream {
    let mut stream = TcpStream::connect(parent.address).await.unwrap();
    stream.write_all(HANDSHAKE.as_bytes()).await.unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    stream
        .write_all(&frame(&join_call(&hello())))
        .await
        .unwrap();
    stream
}

async fn join_plain(parent: &Duty) -> (WsClient, Subscription<serde_json::Value>) {
    let url = format!("ws://{}", parent.address);
    let client = WsClientBuilder::new().build(url).await.unwrap();
    let params = rpc_params![hello()];
    let asked = client.subscribe("link_join", params, "link_leave");
    let accepted = async {
        let session = parent.joining().await;
        parent.order(Command::Accept { session }).await;
    };
    let (downs, ()) = tokio::join!(asked, accepted);
    (client, downs.unwrap())
}

/// Returns a message that is large as it is carried, since its text is hard to compress.
fn large() -> Down {
    const WORDS: u64 = 64 * 1024;
    let word = |number: u64| format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let text: String = (0..WORDS).map(word).collect();
    let secret = Secret {
        header: "authorization".into(),
        value: secret::Value::new(&text),
    };
    let mut snapshot = snapshot(1);
    let name = "large".parse().unwrap();
    snapshot.config.secrets.insert(name, secret);
    Down::Snapshot(Box::new(snapshot))
}

#[tokio::test]
async fn a_child_that_does_not_read_is_closed_and_others_go_on() {
    let (parent, child) = (Duty::start(narrow()), duty());
    let reading = join(&child, &parent).await;
    let _unread = join_bare(&parent).await;
    let stuck = parent.joining().await;
    parent.order(Command::Accept { session: stuck }).await;

    // The buffers of the system are bounded, so this comes to an end.
    let message = Arc::new(large());
    let flood = async {
        loop {
            let (sessions, message) = (vec![stuck], Arc::clone(&message));
            parent.order(Command::Down { sessions, message }).await;
        }
    };
    let closed = tokio::select! {
        closed = parent.closed() => closed,
        () = flood => unreachable!("the flood has no end"),
    };

    assert_eq!(
        closed,
        (stuck, "the peer takes its messages too slowly".to_owned())
    );
    parent.send_down(&[reading], beat(8)).await;
    let expected = Event::Down {
        session: DIALLED,
        message: Box::new(beat(8)),
    };
    assert_eq!(child.event().await, expected);
}

#[tokio::test]
async fn a_peer_that_waits_for_its_answer_for_too_long_is_closed() {
    let parent = duty();
    let _waiting = join_bare(&parent).await;
    let asked = parent.joining().await;

    // From here on the time runs by itself while nothing else is to be done.
    tokio::time::pause();

    let closed = parent.closed().await;
    assert_eq!(closed, (asked, "the peer did not join in time".to_owned()));
}

#[tokio::test]
async fn a_beat_is_small_as_it_is_carried() {
    let parent = duty();
    let mut stream = join_bare(&parent).await;
    let session = parent.joining().await;
    parent.order(Command::Accept { session }).await;
    let accepted = read_frame(&mut stream).await;
    let Down::Heartbeat(expected) = beat(1_234) else {
        unreachable!("a beat is a beat");
    };

    parent.send_down(&[session], beat(1_234)).await;

    let carried = read_frame(&mut stream).await;
    println!("a beat is carried in {} bytes", carried.len());
    assert_eq!(accepted, r#"{"jsonrpc":"2.0","id":1,"result":1}"#);
    let envelope =
        r#"{"jsonrpc":"2.0","method":"link_down","params":{"subscription":1,"result":{"beat":}}}"#;
    let payload = serde_json::to_string(&expected).unwrap();
    assert_eq!(carried.len(), envelope.len() + payload.len());
}

#[tokio::test]
async fn a_child_that_does_not_await_answers_is_closed() {
    let parent = duty();
    let mut stream = join_bare(&parent).await;
    let session = parent.joining().await;
    parent.order(Command::Accept { session }).await;
    read_frame(&mut stream).await;

    // Nobody takes events, so the ring fills, one message waits for room and the next is too many.
    for _ in 0..RING_CAPACITY + 2 {
        let call = r#"{"jsonrpc":"2.0","id":2,"method":"link_up","params":["want-whole"]}"#;
        stream.write_all(&frame(call)).await.unwrap();
    }

    let mut answers = Vec::new();
    // Whether the connection ends orderly or not makes no difference.
    let _ended = stream.read_to_end(&mut answers).await;

    let reason = loop {
        match parent.event().await {
            Event::Closed { reason, .. } => break reason,
            Event::Up { .. } => {}
            event => panic!("unexpected {event:?}"),
        }
    };
    assert_eq!(reason, "the peer does not await its answers");
}

#[tokio::test]
async fn a_child_that_sends_something_else_is_closed() {
    let parent = duty();
    let (client, _downs) = join_plain(&parent).await;

    let outcome = client
        .request::<(), _>("link_up", rpc_params!["KLUv/broken"])
        .await;

    assert!(outcome.is_err());
    let (_, reason) = parent.closed().await;
    assert!(reason.starts_with("the message"), "{reason}");
}

#[tokio::test]
async fn a_peer_that_has_not_joined_is_not_heard() {
    let parent = duty();
    let url = format!("ws://{}", parent.address);
    let client = WsClientBuilder::new().build(url).await.unwrap();

    let outcome = client
        .request::<(), _>("link_up", rpc_params!["want-whole"])
        .await;

    assert!(outcome.unwrap_err().to_string().contains("has not joined"));
}

#[tokio::test]
async fn a_message_over_the_limit_ends_the_link() {
    let small = Limits::builder().message(Bytes::new(16 * 1024)).build();
    let (parent, child) = (duty(), Duty::start(small));
    let session = join(&child, &parent).await;

    parent.send_down(&[session], large()).await;

    assert_eq!(child.closed().await.0, DIALLED);
}

#[tokio::test]
async fn a_burst_larger_than_the_ring_reaches_a_child_that_reads() {
    let (parent, child) = (Duty::start(narrow()), duty());
    let session = join(&child, &parent).await;

    for version in 0..20 {
        parent.send_down(&[session], beat(version)).await;
    }

    for version in 0..20 {
        let message = Box::new(beat(version));
        let session = DIALLED;
        assert_eq!(child.event().await, Event::Down { session, message });
    }
}

#[tokio::test]
async fn a_child_whose_control_duty_is_stuck_is_closed() {
    let (parent, child) = (duty(), Duty::start(narrow()));
    let session = join(&child, &parent).await;

    // Nobody takes the child's events; what its rings hold is bounded, so the link comes to an end.
    let flood = async {
        loop {
            parent.send_down(&[session], beat(8)).await;
        }
    };
    tokio::select! {
        closed = parent.closed() => assert_eq!(closed.0, session),
        () = flood => unreachable!("the flood has no end"),
    }

    let reason = loop {
        match child.event().await {
            Event::Closed { reason, .. } => break reason,
            Event::Down { .. } => {}
            event => panic!("unexpected {event:?}"),
        }
    };
    assert!(!reason.is_empty());
}
