//! Limits, deadlines, cancellation, draining and configuration changes; none of them may lose a
//! request.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use cicadagw_endpoint::State;
use support::backend::{Backend, Behavior};
use support::caller::{call, get, head, post, response};
use support::mesh::{CONFIG, Mesh, Node, RING_CAPACITY};
use tokio::io::AsyncReadExt;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// A deadline in milliseconds that passes soon, but not before the call was sent.
const SHORT_DEADLINE_MS: &str = "2000";

/// The time within which an endless response must end: well over the timeout of its policy.
const ENDLESS_TIMEOUT: Duration = Duration::from_secs(10);

struct Fixture {
    mesh: Mesh,
    node: Node,
    backend: Backend,
}

/// Creates one node with a backend server that responds only when released.
async fn fixture() -> Fixture {
    let mut mesh = Mesh::new();
    let node = mesh.node("only");
    let backend = Backend::start(Behavior::Hold).await;
    mesh.announce(&node, "orders-1", &backend).await;
    Fixture {
        mesh,
        node,
        backend,
    }
}

#[tokio::test]
async fn deadline_in_queue_ends_as_not_run() {
    let mut fixture = fixture().await;
    let running = post("/narrow", "a").id("a").begin(fixture.node.calls).await;
    fixture.backend.received().await;

    let expired = post("/narrow", "b")
        .id("b")
        .header("x-cicadagw-deadline-ms", "50")
        .send(fixture.node.calls)
        .await;

    assert_eq!((expired.status, expired.outcome()), (504, "not-run"));
    assert_eq!(expired.reason(), "deadline");
    assert_eq!(fixture.backend.executions("b"), 0);
    drop(running);
}

#[tokio::test]
async fn deadline_while_running_ends_as_unknown() {
    let fixture = fixture().await;

    let expired = post("/orders", "a")
        .id("a")
        .header("x-cicadagw-deadline-ms", SHORT_DEADLINE_MS)
        .send(fixture.node.calls)
        .await;

    assert_eq!((expired.status, expired.outcome()), (504, "unknown"));
}

#[tokio::test]
async fn full_queue_sheds_call_as_not_run() {
    let mut fixture = fixture().await;
    let calls = fixture.node.calls;
    let mut first = post("/narrow", "a").id("a").begin(calls).await;
    fixture.backend.received().await;
    let mut competing = JoinSet::new();
    competing.spawn(post("/narrow", "b").id("b").send(calls));
    competing.spawn(post("/narrow", "b").id("b").send(calls));

    let refused = competing.join_next().await.unwrap().unwrap();
    fixture.backend.release_one();
    let answered = response(&mut first, false).await;
    fixture.backend.release_one();
    let served = competing.join_next().await.unwrap().unwrap();

    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    assert_eq!(refused.reason(), "shed");
    assert_eq!((answered.status, served.status), (200, 200));
    assert_eq!(fixture.backend.executions("b"), 1);
}

#[tokio::test]
async fn caller_disconnect_releases_slot() {
    let mut fixture = fixture().await;
    let running = post("/narrow", "a").begin(fixture.node.calls).await;
    fixture.backend.received().await;
    let mut next = post("/narrow", "b").begin(fixture.node.calls).await;

    drop(running);
    fixture.backend.closed().await;
    fixture.backend.received().await;
    fixture.backend.release_one();

    let response = response(&mut next, false).await;
    assert_eq!((response.status, response.text()), (200, "b"));
}

#[tokio::test]
async fn stale_response_is_discarded() {
    let mut fixture = fixture().await;
    let expired = post("/orders", "expired")
        .header("x-cicadagw-deadline-ms", SHORT_DEADLINE_MS)
        .send(fixture.node.calls)
        .await;
    fixture.backend.received().await;
    let mut next = post("/orders", "next").begin(fixture.node.calls).await;
    fixture.backend.received().await;

    fixture.backend.release_one();
    fixture.backend.release_one();

    let response = response(&mut next, false).await;
    assert_eq!((expired.status, expired.outcome()), (504, "unknown"));
    assert_eq!((response.status, response.text()), (200, "next"));
}

#[tokio::test]
async fn caller_that_does_not_read_loses_slot_after_timeout() {
    let mut mesh = Mesh::new();
    let node = mesh.node("only");
    let mut backend = Backend::start(Behavior::Endless).await;
    mesh.announce(&node, "orders-1", &backend).await;
    let mut stalled = get("/brief").begin(node.calls).await;
    let response = head(&mut stalled).await;
    backend.received().await;

    // The backend server sees its connection close while the caller keeps its own open.
    backend.closed().await;

    let mut next = get("/brief").begin(node.calls).await;
    assert_eq!(response.status, 200);
    assert_eq!(head(&mut next).await.status, 200);
}

#[tokio::test]
async fn endless_response_is_truncated_at_deadline() {
    let mut mesh = Mesh::new();
    let (near, far) = (mesh.node("near"), mesh.node("far"));
    let mut backend = Backend::start(Behavior::Endless).await;
    mesh.announce(&far, "orders-1", &backend).await;
    let mut endless = get("/brief").begin(near.calls).await;
    let status = head(&mut endless).await.status;

    let mut scratch = vec![0; 64 << 10];
    let mut last = Vec::new();
    let reading = async {
        while let Ok(read @ 1..) = endless.read(&mut scratch).await {
            last = scratch[..read].to_vec();
        }
    };
    let ended = timeout(ENDLESS_TIMEOUT, reading).await;

    assert_eq!(status, 200);
    assert!(ended.is_ok(), "the response did not end");
    assert!(!last.ends_with(b"0\r\n\r\n"), "the response looks complete");
    backend.closed().await;
}

#[tokio::test]
async fn draining_backend_refuses_new_calls_and_finishes_running_ones() {
    let mut fixture = fixture().await;
    let mut running = post("/orders", "a").begin(fixture.node.calls).await;
    fixture.backend.received().await;
    let address = fixture.backend.address;

    fixture.node.announce("orders-1", address, "draining").await;
    // The state change has not reached the other nodes yet: the call still goes to the node of the
    // draining backend server.
    let refused = post("/orders", "b").id("b").send(fixture.node.calls).await;
    let update = fixture.mesh.propagate(&fixture.node).await;
    fixture.backend.release_one();
    let answered = response(&mut running, false).await;

    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    assert_eq!(refused.reason(), "draining");
    assert_eq!(update.state, State::Draining);
    assert_eq!((answered.status, answered.text()), (200, "a"));
    assert_eq!(fixture.backend.executions("b"), 0);
}

#[tokio::test]
async fn stopping_node_refuses_new_calls_and_finishes_running_ones() {
    let mut fixture = fixture().await;
    let mut running = post("/orders", "a").begin(fixture.node.calls).await;
    fixture.backend.received().await;

    fixture.node.start_shutdown();
    let draining = fixture.mesh.propagate(&fixture.node).await;
    let refused = post("/orders", "b").id("b").send(fixture.node.calls).await;
    fixture.backend.release_one();
    let answered = response(&mut running, false).await;
    let gone = fixture.mesh.propagate(&fixture.node).await;
    fixture.node.wait_for_exit().await;

    assert_eq!((draining.state, gone.state), (State::Draining, State::Gone));
    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    assert_eq!((answered.status, answered.text()), (200, "a"));
    assert_eq!(fixture.backend.executions("b"), 0);
}

#[tokio::test]
async fn running_call_keeps_its_configuration() {
    let mut fixture = fixture().await;
    let mut running = post("/orders", "a").begin(fixture.node.calls).await;
    fixture.backend.received().await;

    fixture
        .mesh
        .configure(2, &CONFIG.replace("\"/orders\"", "\"/moved\""));
    let refused = post("/orders", "b").id("b").send(fixture.node.calls).await;
    fixture.backend.release_one();
    let answered = response(&mut running, false).await;

    assert_eq!((refused.status, refused.outcome()), (404, "not-run"));
    assert_eq!((answered.status, answered.text()), (200, "a"));
    assert_eq!(fixture.backend.executions("b"), 0);
}

#[tokio::test]
async fn full_ring_keeps_latest_update_of_each_endpoint() {
    let mut mesh = Mesh::new();
    let node = mesh.node("only");
    for port in 1..=RING_CAPACITY + 2 {
        let endpoint = format!("orders-{port}");
        let address = ([127, 0, 0, 1], port).into();
        node.announce(&endpoint, address, "ready").await;
    }
    let last = format!("orders-{}", RING_CAPACITY + 2);
    let address = ([127, 0, 0, 1], RING_CAPACITY + 2).into();
    node.announce(&last, address, "draining").await;

    let mut states = BTreeMap::new();
    for _ in 1..=RING_CAPACITY + 2 {
        let update = mesh.propagate(&node).await;
        states.insert(update.endpoint.to_string(), update.state);
    }

    let draining: Vec<_> = states
        .iter()
        .filter(|(_, state)| **state == State::Draining)
        .map(|(endpoint, _)| endpoint.clone())
        .collect();
    assert_eq!(states.len(), usize::from(RING_CAPACITY) + 2);
    assert_eq!(draining, [last]);
}

#[tokio::test]
async fn forwarding_loop_ends_at_hop_limit() {
    let mut mesh = Mesh::new();
    let node = mesh.node("only");
    node.announce("orders-1", node.calls, "ready").await;
    mesh.propagate(&node).await;
    let response = get("/orders").send(node.calls).await;

    let refused = get("/orders")
        .header("x-cicadagw-hops", "8")
        .send(node.calls)
        .await;

    assert_eq!(response.status, 508);
    assert_eq!((refused.status, refused.outcome()), (508, "not-run"));
    assert_eq!(refused.reason(), "hop-limit");
}

#[tokio::test]
async fn calls_over_limits_or_invalid_are_refused() {
    let fixture = fixture().await;
    let calls = fixture.node.calls;

    let body = call("POST", "/orders").header("content-length", "99999999999");
    let headers = get("/orders").header("x-long", &"x".repeat(40 << 10));
    let hops = get("/orders").header("x-cicadagw-hops", "many");
    let responses = [
        body.send(calls).await,
        headers.send(calls).await,
        hops.send(calls).await,
        get("/elsewhere").send(calls).await,
    ];

    let statuses = responses.each_ref().map(|response| response.status);
    assert_eq!(statuses, [413, 431, 400, 404]);
    assert!(
        responses
            .iter()
            .all(|response| response.outcome() == "not-run")
    );
}
