//! Links with peers that are slow, silent or send invalid messages are closed, and the other links are not
//! affected.

mod fixture;

use std::sync::Arc;

use cicadagw_config::{Secret, secret};
use cicadagw_link::Limits;
use cicadagw_unit::size::Bytes;
use cicadagw_wire::link::{Command, Event};
use cicadagw_wire::{Down, Hello};
use fixture::{
    DIALLED, Duty, RING_CAPACITY, duty, heartbeat, hello, join, small_ring_limits, snapshot,
};
use jsonrpsee::core::client::{ClientT, Subscription, SubscriptionClientT};
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const HANDSHAKE: &str = "GET / HTTP/1.1\r\nHost: parent\r\nUpgrade: websocket\r\n\
    Connection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\
    Sec-WebSocket-Version: 13\r\n\r\n";

/// Returns a WebSocket text frame of a client, with a masking key of zeros.
fn frame(text: &str) -> Vec<u8> {
    let size = u16::try_from(text.len()).unwrap().to_be_bytes();
    let mut frame = vec![0x81, 0xfe, size[0], size[1], 0, 0, 0, 0];
    frame.extend_from_slice(text.as_bytes());
    frame
}

/// Reads one WebSocket text frame of a server, shorter than 64 KiB.
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

fn join_request(hello: &Hello) -> String {
    let call = serde_json::json!({
        "jsonrpc": "2.0", "id": 1, "method": "link_join", "params": [hello],
    });
    call.to_string()
}

/// Asks to join over a plain TCP connection, which the test may leave unread.
async fn join_over_tcp(parent: &Duty) -> TcpStream {
    let mut stream = TcpStream::connect(parent.address).await.unwrap();
    stream.write_all(HANDSHAKE.as_bytes()).await.unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    stream
        .write_all(&frame(&join_request(&hello())))
        .await
        .unwrap();
    stream
}

/// Joins over a JSON-RPC client, with which the test can send any parameters.
async fn join_over_json_rpc(parent: &Duty) -> (WsClient, Subscription<serde_json::Value>) {
    let url = format!("ws://{}", parent.address);
    let client = WsClientBuilder::new().build(url).await.unwrap();
    let params = rpc_params![hello()];
    let asked = client.subscribe("link_join", params, "link_leave");
    let accepted = async {
        let session = parent.join_requested().await;
        parent.send_command(Command::Accept { session }).await;
    };
    let (downs, ()) = tokio::join!(asked, accepted);
    (client, downs.unwrap())
}

/// Returns a message that stays large when encoded, since its content is hard to compress.
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
async fn a_child_that_does_not_read_is_closed_and_other_links_work_on() {
    let (parent, child) = (Duty::start(small_ring_limits()), duty());
    let reading = join(&child, &parent).await;
    let _unread = join_over_tcp(&parent).await;
    let stuck = parent.join_requested().await;
    parent
        .send_command(Command::Accept { session: stuck })
        .await;

    // Socket buffers and rings are bounded, so the flood must end with a closed link.
    let message = Arc::new(large());
    let flood = async {
        loop {
            let (sessions, message) = (vec![stuck], Arc::clone(&message));
            parent
                .send_command(Command::Down { sessions, message })
                .await;
        }
    };
    let closed = tokio::select! {
        closed = parent.closed() => closed,
        () = flood => unreachable!("the flood has no end"),
    };

    assert_eq!(
        closed,
        (
            stuck,
            "the peer reads too slowly: its send ring is full".to_owned()
        )
    );
    parent.send_down(&[reading], heartbeat(8)).await;
    let expected = Event::Down {
        session: DIALLED,
        message: Box::new(heartbeat(8)),
    };
    assert_eq!(child.event().await, expected);
}

#[tokio::test]
async fn a_peer_whose_join_is_not_answered_in_time_is_closed() {
    let parent = duty();
    let _waiting = join_over_tcp(&parent).await;
    let asked = parent.join_requested().await;

    // From here on, tokio's paused clock advances whenever all tasks are idle.
    tokio::time::pause();

    let closed = parent.closed().await;
    assert_eq!(closed, (asked, "the peer did not join in time".to_owned()));
}

#[tokio::test]
async fn a_heartbeat_has_no_overhead_but_its_envelope() {
    let parent = duty();
    let mut stream = join_over_tcp(&parent).await;
    let session = parent.join_requested().await;
    parent.send_command(Command::Accept { session }).await;
    let accepted = read_frame(&mut stream).await;
    let Down::Heartbeat(expected) = heartbeat(1_234) else {
        unreachable!("the fixture returns this variant");
    };

    parent.send_down(&[session], heartbeat(1_234)).await;

    let carried = read_frame(&mut stream).await;
    println!("a heartbeat is carried in {} bytes", carried.len());
    assert_eq!(accepted, r#"{"jsonrpc":"2.0","id":1,"result":1}"#);
    let envelope =
        r#"{"jsonrpc":"2.0","method":"link_down","params":{"subscription":1,"result":{"beat":}}}"#;
    let payload = serde_json::to_string(&expected).unwrap();
    assert_eq!(carried.len(), envelope.len() + payload.len());
}

#[tokio::test]
async fn a_child_that_sends_before_the_previous_response_is_closed() {
    let parent = duty();
    let mut stream = join_over_tcp(&parent).await;
    let session = parent.join_requested().await;
    parent.send_command(Command::Accept { session }).await;
    read_frame(&mut stream).await;

    // Nobody receives events: the ring fills, one message waits for room, and the next is one too
    // many.
    for _ in 0..RING_CAPACITY + 2 {
        let call = r#"{"jsonrpc":"2.0","id":2,"method":"link_up","params":["want-whole"]}"#;
        stream.write_all(&frame(call)).await.unwrap();
    }

    let mut responses = Vec::new();
    // The connection may end with an error or without.
    let _ended = stream.read_to_end(&mut responses).await;

    let reason = loop {
        match parent.event().await {
            Event::Closed { reason, .. } => break reason,
            Event::Up { .. } => {}
            event => panic!("unexpected {event:?}"),
        }
    };
    assert_eq!(
        reason,
        "the peer sent a message before the previous one was answered"
    );
}

#[tokio::test]
async fn a_child_that_sends_an_undecodable_message_is_closed() {
    let parent = duty();
    let (client, _downs) = join_over_json_rpc(&parent).await;

    let outcome = client
        .request::<(), _>("link_up", rpc_params!["KLUv/broken"])
        .await;

    assert!(outcome.is_err());
    let (_, reason) = parent.closed().await;
    assert!(reason.starts_with("the message"), "{reason}");
}

#[tokio::test]
async fn messages_of_a_peer_that_has_not_joined_are_rejected() {
    let parent = duty();
    let url = format!("ws://{}", parent.address);
    let client = WsClientBuilder::new().build(url).await.unwrap();

    let outcome = client
        .request::<(), _>("link_up", rpc_params!["want-whole"])
        .await;

    assert!(outcome.unwrap_err().to_string().contains("has not joined"));
}

#[tokio::test]
async fn a_message_over_the_size_limit_closes_the_link() {
    let small = Limits::builder().message_max(Bytes::new(16 * 1024)).build();
    let (parent, child) = (duty(), Duty::start(small));
    let session = join(&child, &parent).await;

    parent.send_down(&[session], large()).await;

    assert_eq!(child.closed().await.0, DIALLED);
}

#[tokio::test]
async fn a_burst_larger_than_the_ring_reaches_a_child_that_reads() {
    let (parent, child) = (Duty::start(small_ring_limits()), duty());
    let session = join(&child, &parent).await;

    for version in 0..20 {
        parent.send_down(&[session], heartbeat(version)).await;
    }

    for version in 0..20 {
        let message = Box::new(heartbeat(version));
        let session = DIALLED;
        assert_eq!(child.event().await, Event::Down { session, message });
    }
}

#[tokio::test]
async fn a_child_whose_control_duty_is_blocked_is_closed() {
    let (parent, child) = (duty(), Duty::start(small_ring_limits()));
    let session = join(&child, &parent).await;

    // Nobody receives the child's events; its rings are bounded, so the flood must end with a
    // closed link.
    let flood = async {
        loop {
            parent.send_down(&[session], heartbeat(8)).await;
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
