//! Failures of backend servers and connections: a request that is not idempotent runs at most once,
//! a request that may have run is never reported as not run, and a truncated response is never
//! forwarded as complete.

mod support;

use std::net::SocketAddr;

use support::backend::{Backend, Behavior, body};
use support::caller::{Response, call, get, head, post};
use support::mesh::{Mesh, Node};

struct Bench {
    mesh: Mesh,
    near: Node,
    far: Node,
    backend: Backend,
}

/// Creates two nodes and a backend server behind the far one.
async fn bench(behavior: Behavior) -> Bench {
    let mut mesh = Mesh::new();
    let (near, far) = (mesh.node("near"), mesh.node("far"));
    let backend = Backend::start(behavior).await;
    mesh.announce(&far, "orders-1", &backend).await;
    Bench {
        mesh,
        near,
        far,
        backend,
    }
}

/// Returns an address without a listener: port 1 is never assigned by the system.
fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 99, 1], 1))
}

#[tokio::test]
async fn non_idempotent_request_on_closed_reused_connection_runs_once() {
    let bench = bench(Behavior::CloseSecond).await;
    post("/orders", "a").id("a").send(bench.near.calls).await;

    let response = post("/orders", "b").id("b").send(bench.near.calls).await;

    assert_eq!((response.status, response.outcome()), (502, "unknown"));
    assert_eq!(bench.backend.runs("b"), 1);
}

#[tokio::test]
async fn idempotent_request_on_closed_reused_connection_is_retried() {
    let bench = bench(Behavior::CloseSecond).await;
    get("/orders").id("a").send(bench.near.calls).await;

    let response = get("/orders").id("b").send(bench.near.calls).await;

    assert_eq!((response.status, response.outcome()), (200, "answered"));
    assert_eq!(bench.backend.runs("b"), 2);
    assert_eq!(bench.near.stats.counts().retries, 1);
}

#[tokio::test]
async fn request_that_ran_never_ends_as_not_run() {
    let bench = bench(Behavior::Close).await;

    let response = get("/orders").id("a").send(bench.near.calls).await;

    assert_eq!((response.status, response.outcome()), (502, "unknown"));
    assert_eq!(response.reason(), "lost");
    assert_eq!(bench.backend.runs("a"), 3);
}

#[tokio::test]
async fn lost_request_stays_unknown_after_refused_retry() {
    let mut bench = bench(Behavior::Close).await;
    let response = bench
        .near
        .announce("orders-2", unused_address(), "ready")
        .await;
    assert_eq!(response.status, 200);
    bench.mesh.propagate(&bench.near).await;

    let response = get("/orders").id("a").send(bench.near.calls).await;

    assert_eq!((response.outcome(), response.reason()), ("unknown", "lost"));
    assert!(bench.backend.runs("a") > 0);
}

#[tokio::test]
async fn unreachable_backend_ends_as_not_run() {
    let mut mesh = Mesh::new();
    let node = mesh.node("only");
    node.announce("orders-1", unused_address(), "ready").await;
    mesh.propagate(&node).await;

    let response = post("/orders", "a").send(node.calls).await;

    assert_eq!((response.status, response.outcome()), (503, "not-run"));
    assert_eq!(response.reason(), "unreachable");
}

#[tokio::test]
async fn request_that_did_not_run_is_retried_at_another_endpoint() {
    let mut bench = bench(Behavior::Echo).await;
    bench
        .near
        .announce("orders-2", unused_address(), "ready")
        .await;
    bench.mesh.propagate(&bench.near).await;

    let response = post("/orders", "a").id("a").send(bench.near.calls).await;

    assert_eq!((response.status, response.outcome()), (200, "answered"));
    assert_eq!(bench.backend.runs("a"), 1);
}

/// Returns the response that a caller receives if it is truncated after its head was forwarded.
async fn truncated_response(behavior: Behavior) -> Response {
    let bench = bench(behavior).await;
    let mut stream = post("/orders", "crock").begin(bench.near.calls).await;
    let mut response = head(&mut stream).await;
    bench.backend.release_one();
    response.body = body(&mut stream, &response.headers).await;
    response
}

#[tokio::test]
async fn truncated_response_with_length_is_truncated_for_caller() {
    let response = truncated_response(Behavior::TruncatedLength).await;

    assert_eq!((response.status, response.body), (200, None));
}

#[tokio::test]
async fn truncated_chunked_response_is_truncated_for_caller() {
    let response = truncated_response(Behavior::TruncatedChunked).await;

    assert_eq!((response.status, response.body), (200, None));
}

#[tokio::test]
async fn response_ended_by_connection_close_is_forwarded_completely() {
    let bench = bench(Behavior::NoLength).await;

    let response = post("/orders", "crock").send(bench.near.calls).await;

    assert_eq!((response.status, response.outcome()), (200, "answered"));
    assert_eq!(response.text(), "crock");
}

#[tokio::test]
async fn response_ended_by_reset_ends_as_unknown() {
    let bench = bench(Behavior::NoLengthReset).await;

    let response = post("/orders", "crock").send(bench.near.calls).await;

    assert_eq!((response.status, response.outcome()), (502, "unknown"));
}

#[tokio::test]
async fn truncated_request_does_not_run() {
    let mut bench = bench(Behavior::Echo).await;
    let cut = call("POST", "/orders")
        .id("cut")
        .header("content-length", "10")
        .raw_body(b"cro");
    drop(cut.begin(bench.near.calls).await);

    let whole = post("/orders", "crock").id("whole");
    let response = whole.send(bench.near.calls).await;

    let received = bench.backend.received().await;
    assert_eq!(
        (response.status, &*received.headers["x-id"]),
        (200, "whole")
    );
    assert_eq!(bench.backend.runs("cut"), 0);
}

#[tokio::test]
async fn ended_endpoint_id_cannot_be_announced_again() {
    let bench = bench(Behavior::Echo).await;
    let end = call("DELETE", "/announce/orders-1");
    let ended = end.send(bench.far.announce).await;

    let address = bench.backend.address;
    let response = bench.far.announce("orders-1", address, "ready").await;

    assert_eq!((ended.status, response.status), (204, 410));
    let refused = post("/orders", "a").id("a").send(bench.near.calls).await;
    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    assert_eq!(bench.backend.runs("a"), 0);
}
