//! Failures of backend servers and connections: a request that is not idempotent is executed at
//! most once, a request that may have been executed is never reported as `not-run`, and a truncated
//! response is never forwarded as complete.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::backend::{Backend, Behavior, body};
use support::caller::{Response, call, get, head, post};
use support::mesh::{Mesh, Node};
use support::refusing::RefusingNode;

/// The maximum number of attempts of a call under the default policy.
const ATTEMPTS_MAX: usize = 3;

struct Fixture {
    mesh: Mesh,
    /// The node of the caller.
    near: Node,
    /// The node of the backend server.
    far: Node,
    backend: Backend,
}

/// Creates two nodes and a backend server behind the far one.
async fn fixture(behavior: Behavior) -> Fixture {
    let mut mesh = Mesh::new();
    let (near, far) = (mesh.node("near"), mesh.node("far"));
    let backend = Backend::start(behavior).await;
    mesh.announce(&far, "orders-1", &backend).await;
    Fixture {
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
async fn non_idempotent_request_on_closed_reused_connection_is_executed_once() {
    let fixture = fixture(Behavior::CloseSecond).await;
    post("/orders", "a").id("a").send(fixture.near.calls).await;

    let response = post("/orders", "b").id("b").send(fixture.near.calls).await;

    assert_eq!((response.status, response.outcome()), (502, "unknown"));
    assert_eq!(fixture.backend.executions("b"), 1);
}

#[tokio::test]
async fn idempotent_request_on_closed_reused_connection_is_retried() {
    let fixture = fixture(Behavior::CloseSecond).await;
    get("/orders").id("a").send(fixture.near.calls).await;

    let response = get("/orders").id("b").send(fixture.near.calls).await;

    assert_eq!((response.status, response.outcome()), (200, "answered"));
    assert_eq!(fixture.backend.executions("b"), 2);
    assert_eq!(fixture.near.stats.counts().retries, 1);
}

#[tokio::test]
async fn executed_request_never_ends_as_not_run() {
    let fixture = fixture(Behavior::Close).await;

    let response = get("/orders").id("a").send(fixture.near.calls).await;

    assert_eq!((response.status, response.outcome()), (502, "unknown"));
    assert_eq!(response.reason(), "lost");
    assert_eq!(fixture.backend.executions("a"), ATTEMPTS_MAX);
}

#[tokio::test]
async fn lost_request_stays_unknown_after_refused_retry() {
    let mut fixture = fixture(Behavior::Close).await;
    let response = fixture
        .near
        .announce("orders-2", unused_address(), "ready")
        .await;
    assert_eq!(response.status, 200);
    fixture.mesh.propagate(&fixture.near).await;

    let response = get("/orders").id("a").send(fixture.near.calls).await;

    assert_eq!((response.outcome(), response.reason()), ("unknown", "lost"));
    assert!(fixture.backend.executions("a") > 0);
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
async fn unexecuted_request_is_retried_at_another_endpoint() {
    let mut fixture = fixture(Behavior::Echo).await;
    fixture
        .near
        .announce("orders-2", unused_address(), "ready")
        .await;
    fixture.mesh.propagate(&fixture.near).await;

    let response = post("/orders", "a").id("a").send(fixture.near.calls).await;

    assert_eq!((response.status, response.outcome()), (200, "answered"));
    assert_eq!(fixture.backend.executions("a"), 1);
}

/// Returns what a caller receives from a backend server whose response is truncated after its head
/// was forwarded.
async fn truncated_response(behavior: Behavior) -> Response {
    let fixture = fixture(behavior).await;
    let mut stream = post("/orders", "body").begin(fixture.near.calls).await;
    let mut response = head(&mut stream).await;
    fixture.backend.release_one();
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
    let fixture = fixture(Behavior::NoLength).await;

    let response = post("/orders", "body").send(fixture.near.calls).await;

    assert_eq!((response.status, response.outcome()), (200, "answered"));
    assert_eq!(response.text(), "body");
}

#[tokio::test]
async fn response_ended_by_reset_ends_as_unknown() {
    let fixture = fixture(Behavior::NoLengthReset).await;

    let response = post("/orders", "body").send(fixture.near.calls).await;

    assert_eq!((response.status, response.outcome()), (502, "unknown"));
}

#[tokio::test]
async fn truncated_request_is_not_executed() {
    let mut fixture = fixture(Behavior::Echo).await;
    let truncated = call("POST", "/orders")
        .id("truncated")
        .header("content-length", "10")
        .raw_body(b"bo");
    drop(truncated.begin(fixture.near.calls).await);

    let complete = post("/orders", "body").id("complete");
    let response = complete.send(fixture.near.calls).await;

    let received = fixture.backend.received().await;
    assert_eq!(
        (response.status, &*received.headers["x-id"]),
        (200, "complete")
    );
    assert_eq!(fixture.backend.executions("truncated"), 0);
}

#[tokio::test]
async fn gone_endpoint_id_cannot_be_announced_again() {
    let fixture = fixture(Behavior::Echo).await;
    let deregistration = call("DELETE", "/announce/orders-1");
    let deregistered = deregistration.send(fixture.far.announce).await;

    let address = fixture.backend.address;
    let response = fixture.far.announce("orders-1", address, "ready").await;

    assert_eq!((deregistered.status, response.status), (204, 410));
    let refused = post("/orders", "a").id("a").send(fixture.near.calls).await;
    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    assert_eq!(fixture.backend.executions("a"), 0);
}

#[tokio::test]
async fn connection_to_another_node_is_reused_after_refusals() {
    let mut mesh = Mesh::new();
    let near = mesh.node("near");
    let refusing = RefusingNode::start().await;
    mesh.add_endpoint("orders-1", "kochi", refusing.address);

    for _ in 0..5 {
        let response = get("/orders").send(near.calls).await;
        assert_eq!((response.status, response.reason()), (503, "shed"));
    }

    assert_eq!(refusing.connections(), 1);
}

/// A configuration by which nodes close idle connections after half a second.
const SHORT_IDLE_CONFIG: &str = r#"{
  "edge": { "idle_timeout": "500ms" },
  "routes": { "orders": { "prefix": "/orders", "cluster": "orders", "policy": "plain" } },
  "clusters": { "orders": { "service": "orders" } },
  "policies": { "plain": { "timeout": "30000ms" } },
  "presets": { "ordinary": {} },
}"#;

#[tokio::test]
async fn connection_that_another_node_may_be_closing_is_not_reused() {
    let mut mesh = Mesh::new();
    mesh.configure(2, SHORT_IDLE_CONFIG);
    let near = mesh.node("near");
    let refusing = RefusingNode::start().await;
    mesh.add_endpoint("orders-1", "kochi", refusing.address);
    get("/orders").send(near.calls).await;
    // Close to the idle timeout of the other node, the connection may end at any moment.
    tokio::time::sleep(Duration::from_millis(450)).await;

    get("/orders").send(near.calls).await;

    assert_eq!(refusing.connections(), 2);
}
