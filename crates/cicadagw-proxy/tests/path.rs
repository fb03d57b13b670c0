//! Calls from the caller through one or two nodes to the backend server and back.

mod support;

use std::net::SocketAddr;

use support::backend::{Backend, Behavior};
use support::caller::{call, get, post};
use support::mesh::{CONFIG, Mesh};
use tokio::task::JoinSet;

/// The number of concurrent callers in the restart test, of calls per caller, and of rounds in
/// which every backend server restarts.
const CALLERS: usize = 8;
const CALLS: usize = 50;
const ROUNDS: u64 = 20;

#[tokio::test]
async fn call_passes_through_two_nodes() {
    let mut mesh = Mesh::new();
    let (near, far) = (mesh.node("near"), mesh.node("far"));
    let mut backend = Backend::start(Behavior::Echo).await;
    mesh.announce(&far, "orders-1", &backend).await;

    let response = post("/orders/7?full=1", "body").send(near.calls).await;

    let received = backend.received().await;
    assert_eq!((response.status, response.text()), (200, "body"));
    assert_eq!(response.outcome(), "answered");
    assert_eq!(received.path, "/orders/7?full=1");
    assert_eq!(received.headers["host"], "shop.test");
    assert_eq!(received.headers["x-cicadagw-hops"], "2");
}

#[tokio::test]
async fn call_to_local_endpoint_uses_single_node() {
    let mut mesh = Mesh::new();
    let node = mesh.node("only");
    let mut backend = Backend::start(Behavior::Chunked).await;
    mesh.announce(&node, "orders-1", &backend).await;

    let response = post("/orders", "body").send(node.calls).await;

    assert_eq!((response.status, response.text()), (200, "body"));
    assert_eq!(backend.received().await.headers["x-cicadagw-hops"], "1");
}

#[tokio::test]
async fn large_bodies_are_streamed_both_ways() {
    let mut mesh = Mesh::new();
    let (near, far) = (mesh.node("near"), mesh.node("far"));
    let backend = Backend::start(Behavior::Echo).await;
    mesh.announce(&far, "orders-1", &backend).await;
    let body: String = "body".repeat(1 << 20);

    let response = post("/orders", &body).send(near.calls).await;

    assert_eq!(response.status, 200);
    assert!(response.text() == body);
}

#[tokio::test]
async fn secret_is_added_and_hop_by_hop_headers_are_removed() {
    let mut mesh = Mesh::new();
    let (near, far) = (mesh.node("near"), mesh.node("far"));
    let mut backend = Backend::start(Behavior::Echo).await;
    mesh.announce(&far, "orders-1", &backend).await;

    let response = get("/orders")
        .header("connection", "x-hop")
        .header("x-hop", "1")
        .header("x-key", "forged")
        .send(near.calls)
        .await;

    let headers = backend.received().await.headers;
    assert_eq!(headers["x-key"], "open-sesame");
    for absent in ["x-hop", "accept-encoding", "x-cicadagw-endpoint"] {
        assert!(!headers.contains_key(absent), "{absent}");
    }
    assert!(!format!("{:?}", response.headers).contains("open-sesame"));
    assert!(!response.headers.contains_key("x-cicadagw-load"));
}

#[tokio::test]
async fn head_response_keeps_content_length() {
    let mut mesh = Mesh::new();
    let node = mesh.node("only");
    let backend = Backend::start(Behavior::TruncatedLength).await;
    mesh.announce(&node, "orders-1", &backend).await;

    let response = call("HEAD", "/orders").send(node.calls).await;

    assert_eq!(response.status, 200);
    assert_eq!(response.headers["content-length"], "10");
}

#[tokio::test]
async fn every_call_runs_once_during_restarts_and_reconfiguration() {
    let mut mesh = Mesh::new();
    let near = mesh.node("near");
    let nodes = [mesh.node("far-1"), mesh.node("far-2")];
    let backends = [
        Backend::start(Behavior::Echo).await,
        Backend::start(Behavior::Echo).await,
    ];
    for (index, node) in nodes.iter().enumerate() {
        let endpoint = format!("orders-{index}-0");
        mesh.announce(node, &endpoint, &backends[index]).await;
    }
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        callers.spawn(call_sequentially(near.calls, caller));
    }

    for round in 1..=ROUNDS {
        for (index, node) in nodes.iter().enumerate() {
            let old = format!("orders-{index}-{}", round - 1);
            let new = format!("orders-{index}-{round}");
            node.announce(&old, backends[index].address, "draining")
                .await;
            mesh.propagate(node).await;
            call("DELETE", &format!("/announce/{old}"))
                .send(node.announce)
                .await;
            mesh.propagate(node).await;
            mesh.announce(node, &new, &backends[index]).await;
            mesh.configure(round * 10 + index as u64, CONFIG);
        }
    }

    let ids: Vec<String> = callers.join_all().await.concat();
    let executions = |id: &String| {
        backends
            .iter()
            .map(|backend| backend.executions(id))
            .sum::<usize>()
    };
    assert_eq!(ids.len(), CALLERS * CALLS);
    assert!(ids.iter().all(|id| executions(id) == 1));
}

/// Makes calls sequentially and returns their ids; every call must get a response.
async fn call_sequentially(address: SocketAddr, caller: usize) -> Vec<String> {
    let mut ids = Vec::new();
    for index in 0..CALLS {
        let id = format!("{caller}-{index}");
        let response = post("/orders", &id).id(&id).send(address).await;
        assert_eq!(
            (response.status, response.text()),
            (200, &*id),
            "{response:?}"
        );
        ids.push(id);
    }
    ids
}

#[tokio::test]
async fn invalid_announcement_is_answered_with_all_findings() {
    let mesh = Mesh::new();
    let node = mesh.node("only");
    let announcement = r#"{"endpoint":"Orders 1","service":"orders","address":"here","slots":0}"#;

    let response = post("/announce", announcement).send(node.announce).await;

    assert_eq!(response.status, 400);
    for expected in ["Orders 1", "socket address", "`0`", "connections", "state"] {
        assert!(
            response.text().contains(expected),
            "{expected}: {}",
            response.text()
        );
    }
}

#[tokio::test]
async fn added_latency_is_recorded_on_each_node_for_answered_calls() {
    let mut mesh = Mesh::new();
    let (near, far) = (mesh.node("near"), mesh.node("far"));
    let backend = Backend::start(Behavior::Echo).await;
    mesh.announce(&far, "orders-1", &backend).await;

    let answered = get("/orders").send(near.calls).await;
    let refused = get("/nowhere").send(near.calls).await;

    assert_eq!(
        (answered.outcome(), refused.outcome()),
        ("answered", "not-run")
    );
    assert_eq!(near.stats.latency().count(), 1);
    assert_eq!(far.stats.latency().count(), 1);
}
