//! What operators of similar systems have reported: repeated refusals, responses that end within
//! their heads, and calls that are accepted late in a shutdown.

mod support;

use std::sync::Arc;
use std::time::Duration;

use cicadagw_unit::time::Span;
use support::backend::Received;
use support::caller::{Response, get, post};
use support::mesh::{Mesh, Node};
use support::scripted::{Script, Scripted, response, sealed};
use support::strict::Strict;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// A response whose head is cut at each byte.
const WHOLE: &str = "HTTP/1.1 200 OK\r\nt-id: a1\r\nt-seal: s\r\ncontent-length: 3\r\n\r\nown";

/// Two nodes with the strict dialect: one for callers, one for a backend server.
async fn fixture(script: Script) -> (Node, Node, Scripted) {
    let mut mesh = Mesh::new();
    mesh.set_dialect(Arc::new(Strict));
    let (near, far) = (mesh.node("near"), mesh.node("far"));
    let backend = Scripted::start(script).await;
    far.announce("orders-1", backend.address, "ready").await;
    mesh.propagate(&far).await;
    (near, far, backend)
}

async fn order(node: &Node, id: &str) -> Response {
    post("/orders", "x")
        .header("t-id", id)
        .send(node.calls)
        .await
}

fn refusal(id: &str) -> String {
    let head = format!("t-id: {id}\r\nt-not-run: 1\r\n");
    response("503 Service Unavailable", &head, "")
}

/// Refuses the first request, and writes that refusal once more before the response to the second.
fn repeated_refusal(request: &Received) -> Option<String> {
    match request.headers["t-id"].as_str() {
        "a1" => Some(refusal("a1")),
        _ => sealed(request).map(|answer| refusal("a1") + &answer),
    }
}

/// Refuses the first request, and writes a refusal without an id before the response to the second.
fn repeated_refusal_without_id(request: &Received) -> Option<String> {
    let anonymous = || response("503 Service Unavailable", "t-not-run: 1\r\n", "");
    match request.headers["t-id"].as_str() {
        "a1" => Some(refusal("a1")),
        _ => sealed(request).map(|answer| anonymous() + &answer),
    }
}

#[tokio::test]
async fn repeated_refusal_is_not_taken_for_that_of_a_later_request() {
    let (near, _far, backend) = fixture(repeated_refusal).await;
    let refused = order(&near, "a1").await;
    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));

    let answered = order(&near, "a2").await;

    assert_eq!((answered.status, answered.text()), (200, "own"));
    assert_eq!(backend.received().len(), 2);
}

#[tokio::test]
async fn repeated_refusal_without_id_does_not_say_that_a_later_request_was_not_run() {
    let (near, _far, backend) = fixture(repeated_refusal_without_id).await;
    order(&near, "a1").await;

    let lost = order(&near, "a2").await;

    assert_eq!((lost.status, lost.outcome()), (502, "unknown"));
    assert_eq!(backend.received().len(), 2);
}

#[tokio::test]
async fn response_that_ends_within_its_head_is_no_success() {
    let head_length = WHOLE.find("own").unwrap();
    for length in (1..head_length).step_by(3) {
        let mut mesh = Mesh::new();
        mesh.set_dialect(Arc::new(Strict));
        let (near, far) = (mesh.node("near"), mesh.node("far"));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut request = [0; 4_096];
                if stream.read(&mut request).await.is_ok_and(|read| read > 0) {
                    stream.write_all(&WHOLE.as_bytes()[..length]).await.ok();
                }
            }
        });
        far.announce("orders-1", address, "ready").await;
        mesh.propagate(&far).await;

        let lost = order(&near, "a1").await;

        let end = (lost.status, lost.outcome());
        assert_eq!(end, (502, "unknown"), "after {length} bytes");
    }
}

#[tokio::test]
async fn call_that_a_stopping_node_would_abort_is_refused_before_it_is_passed_on() {
    let mut mesh = Mesh::new();
    mesh.set_dialect(Arc::new(Strict));
    mesh.set_shutdown_delay(Span::seconds(20));
    mesh.set_drain(Span::new(700));
    let (near, far) = (mesh.node("near"), mesh.node("far"));
    let backend = Scripted::start_slow(sealed, Duration::from_millis(300)).await;
    far.announce("orders-1", backend.address, "ready").await;
    mesh.propagate(&far).await;
    // The node learns how long such calls take.
    assert_eq!(order(&near, "a1").await.status, 200);

    near.start_shutdown();
    while get("/ready").send(near.ready).await.status == 200 {}
    tokio::time::sleep(Duration::from_millis(300)).await;
    let late = order(&near, "a2").await;

    assert_eq!((late.status, late.reason()), (503, "draining"));
    assert_eq!(backend.received().len(), 1);
}

// Guards against a response that is admitted to the busy link of another node although the node that
// took the call ends before its turn.
#[tokio::test]
async fn call_taken_by_a_stopping_node_is_to_be_answered_before_the_node_ends() {
    let mut mesh = Mesh::new();
    mesh.set_dialect(Arc::new(Strict));
    mesh.set_shutdown_delay(Span::seconds(20));
    mesh.set_drain(Span::new(2_000));
    let (near, far) = (mesh.node("near"), mesh.node("far"));
    let backend = Scripted::start(sealed).await;
    far.announce("orders-1", backend.address, "ready").await;
    mesh.propagate(&far).await;

    near.start_shutdown();
    while get("/ready").send(near.ready).await.status == 200 {}
    let answered = order(&near, "a1").await;

    let received = backend.received();
    let left: u64 = received[0].headers["t-left"].parse().unwrap();
    assert_eq!(answered.status, 200);
    assert!(left <= 2_300, "{left} ms");
}
