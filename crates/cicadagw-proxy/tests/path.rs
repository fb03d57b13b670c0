//! The whole path of a call: from the caller by two nodes, or one, to the backend server and back.

mod support;

use std::net::SocketAddr;

use support::backend::{Backend, Conduct};
use support::caller::{call, get, post};
use support::mesh::{CONFIG, Mesh};
use tokio::task::JoinSet;

/// How many callers there are in a test of restarts, how many calls each makes, and how often all
/// is restarted.
const CALLERS: usize = 8;
const CALLS: usize = 50;
const ROUNDS: u64 = 20;

#[tokio::test]
async fn a_call_goes_over_two_nodes_and_back() {
    let mut mesh = Mesh::new();
    let (near, far) = (mesh.node("near"), mesh.node("far"));
    let mut backend = Backend::start(Conduct::Echo).await;
    mesh.announce(&far, "orders-1", &backend).await;

    let answer = post("/orders/7?full=1", "crock").send(near.calls).await;

    let received = backend.received().await;
    assert_eq!((answer.status, answer.text()), (200, "crock"));
    assert_eq!(answer.outcome(), "answered");
    assert_eq!(received.path, "/orders/7?full=1");
    assert_eq!(received.headers["host"], "shop.test");
    assert_eq!(received.headers["x-cicadagw-hops"], "2");
}

#[tokio::test]
async fn a_call_to_a_node_of_the_service_goes_over_this_one_alone() {
    let mut mesh = Mesh::new();
    let node = mesh.node("only");
    let mut backend = Backend::start(Conduct::Chunked).await;
    mesh.announce(&node, "orders-1", &backend).await;

    let answer = post("/orders", "crock").send(node.calls).await;

    assert_eq!((answer.status, answer.text()), (200, "crock"));
    assert_eq!(backend.received().await.headers["x-cicadagw-hops"], "1");
}

#[tokio::test]
async fn large_bodies_pass_through_both_ways() {
    let mut mesh = Mesh::new();
    let (near, far) = (mesh.node("near"), mesh.node("far"));
    let backend = Backend::start(Conduct::Echo).await;
    mesh.announce(&far, "orders-1", &backend).await;
    let deed: String = "deed".repeat(1 << 20);

    let answer = post("/orders", &deed).send(near.calls).await;

    assert_eq!(answer.status, 200);
    assert!(answer.text() == deed);
}

#[tokio::test]
async fn a_secret_goes_to_the_backend_server_and_hop_by_hop_headers_do_not() {
    let mut mesh = Mesh::new();
    let (near, far) = (mesh.node("near"), mesh.node("far"));
    let mut backend = Backend::start(Conduct::Echo).await;
    mesh.announce(&far, "orders-1", &backend).await;

    let answer = get("/orders")
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
    assert!(!format!("{:?}", answer.headers).contains("open-sesame"));
    assert!(!answer.headers.contains_key("x-cicadagw-load"));
}

#[tokio::test]
async fn the_head_of_an_answer_keeps_its_length() {
    let mut mesh = Mesh::new();
    let node = mesh.node("only");
    let backend = Backend::start(Conduct::CutLength).await;
    mesh.announce(&node, "orders-1", &backend).await;

    let answer = call("HEAD", "/orders").send(node.calls).await;

    assert_eq!(answer.status, 200);
    assert_eq!(answer.headers["content-length"], "10");
}

#[tokio::test]
async fn nothing_is_lost_or_doubled_while_all_restarts_and_changes() {
    let mut mesh = Mesh::new();
    let near = mesh.node("near");
    let nodes = [mesh.node("far-1"), mesh.node("far-2")];
    let backends = [
        Backend::start(Conduct::Echo).await,
        Backend::start(Conduct::Echo).await,
    ];
    for (index, node) in nodes.iter().enumerate() {
        let endpoint = format!("orders-{index}-0");
        mesh.announce(node, &endpoint, &backends[index]).await;
    }
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        callers.spawn(call_in_turn(near.calls, caller));
    }

    for round in 1..=ROUNDS {
        for (index, node) in nodes.iter().enumerate() {
            let old = format!("orders-{index}-{}", round - 1);
            let new = format!("orders-{index}-{round}");
            node.announce(&old, backends[index].address, "draining")
                .await;
            mesh.hear(node).await;
            call("DELETE", &format!("/announce/{old}"))
                .send(node.announce)
                .await;
            mesh.hear(node).await;
            mesh.announce(node, &new, &backends[index]).await;
            mesh.configure(round * 10 + index as u64, CONFIG);
        }
    }

    let ids: Vec<String> = callers.join_all().await.concat();
    let runs = |id: &String| {
        backends
            .iter()
            .map(|backend| backend.runs(id))
            .sum::<usize>()
    };
    assert_eq!(ids.len(), CALLERS * CALLS);
    assert!(ids.iter().all(|id| runs(id) == 1));
}

/// Makes calls one after the other, and returns the ids of those that were answered.
async fn call_in_turn(address: SocketAddr, caller: usize) -> Vec<String> {
    let mut ids = Vec::new();
    for index in 0..CALLS {
        let id = format!("{caller}-{index}");
        let answer = post("/orders", &id).id(&id).send(address).await;
        assert_eq!((answer.status, answer.text()), (200, &*id), "{answer:?}");
        ids.push(id);
    }
    ids
}

#[tokio::test]
async fn a_bad_announcement_is_answered_with_all_findings() {
    let mesh = Mesh::new();
    let node = mesh.node("only");
    let said = r#"{"endpoint":"Orders 1","service":"orders","address":"here","slots":0}"#;

    let answer = post("/announce", said).send(node.announce).await;

    assert_eq!(answer.status, 400);
    for wanted in ["Orders 1", "socket address", "`0`", "connections", "state"] {
        assert!(
            answer.text().contains(wanted),
            "{wanted}: {}",
            answer.text()
        );
    }
}

#[tokio::test]
async fn each_node_counts_the_time_that_it_added_to_an_answered_call() {
    let mut mesh = Mesh::new();
    let (near, far) = (mesh.node("near"), mesh.node("far"));
    let backend = Backend::start(Conduct::Echo).await;
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
