//! Limits, deadlines, cancellation, draining and change: each honoured without a lost request.

mod support;

use std::collections::BTreeMap;

use cicadagw_endpoint::State;
use support::backend::{Backend, Conduct};
use support::caller::{answer, call, get, head, post};
use support::mesh::{CONFIG, Mesh, Node, RING};
use tokio::task::JoinSet;

/// A time that is over soon, but not before a call has gone out.
const AMPLE_MS: &str = "2000";

struct Bench {
    mesh: Mesh,
    node: Node,
    backend: Backend,
}

/// One node with a backend server that answers once it is let.
async fn bench() -> Bench {
    let mut mesh = Mesh::new();
    let node = mesh.node("only");
    let backend = Backend::start(Conduct::Hold).await;
    mesh.announce(&node, "orders-1", &backend).await;
    Bench {
        mesh,
        node,
        backend,
    }
}

#[tokio::test]
async fn a_call_whose_time_is_over_while_it_waits_did_not_run() {
    let mut bench = bench().await;
    let held = post("/narrow", "a").id("a").begin(bench.node.calls).await;
    bench.backend.received().await;

    let late = post("/narrow", "b")
        .id("b")
        .header("x-cicadagw-deadline-ms", "50")
        .send(bench.node.calls)
        .await;

    assert_eq!((late.status, late.outcome()), (504, "not-run"));
    assert_eq!(late.reason(), "deadline");
    assert_eq!(bench.backend.runs("b"), 0);
    drop(held);
}

#[tokio::test]
async fn a_call_whose_time_is_over_while_it_runs_may_have_run() {
    let bench = bench().await;

    let late = post("/orders", "a")
        .id("a")
        .header("x-cicadagw-deadline-ms", AMPLE_MS)
        .send(bench.node.calls)
        .await;

    assert_eq!((late.status, late.outcome()), (504, "unknown"));
}

#[tokio::test]
async fn a_full_queue_refuses_a_call_that_did_not_run() {
    let mut bench = bench().await;
    let calls = bench.node.calls;
    let mut first = post("/narrow", "a").id("a").begin(calls).await;
    bench.backend.received().await;
    let mut rivals = JoinSet::new();
    rivals.spawn(post("/narrow", "b").id("b").send(calls));
    rivals.spawn(post("/narrow", "b").id("b").send(calls));

    let refused = rivals.join_next().await.unwrap().unwrap();
    bench.backend.let_one();
    let answered = answer(&mut first, false).await;
    bench.backend.let_one();
    let served = rivals.join_next().await.unwrap().unwrap();

    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    assert_eq!(refused.reason(), "shed");
    assert_eq!((answered.status, served.status), (200, 200));
    assert_eq!(bench.backend.runs("b"), 1);
}

#[tokio::test]
async fn a_caller_that_goes_away_gives_its_place_back() {
    let mut bench = bench().await;
    let held = post("/narrow", "a").begin(bench.node.calls).await;
    bench.backend.received().await;
    let mut next = post("/narrow", "b").begin(bench.node.calls).await;

    drop(held);
    bench.backend.closed().await;
    bench.backend.received().await;
    bench.backend.let_one();

    let answer = answer(&mut next, false).await;
    assert_eq!((answer.status, answer.text()), (200, "b"));
}

#[tokio::test]
async fn a_late_answer_goes_to_nobody() {
    let mut bench = bench().await;
    let late = post("/orders", "late")
        .header("x-cicadagw-deadline-ms", AMPLE_MS)
        .send(bench.node.calls)
        .await;
    bench.backend.received().await;
    let mut next = post("/orders", "next").begin(bench.node.calls).await;
    bench.backend.received().await;

    bench.backend.let_one();
    bench.backend.let_one();

    let answer = answer(&mut next, false).await;
    assert_eq!((late.status, late.outcome()), (504, "unknown"));
    assert_eq!((answer.status, answer.text()), (200, "next"));
}

#[tokio::test]
async fn a_caller_that_does_not_read_gives_its_place_back() {
    let mut mesh = Mesh::new();
    let node = mesh.node("only");
    let mut backend = Backend::start(Conduct::Endless).await;
    mesh.announce(&node, "orders-1", &backend).await;
    let mut stalled = get("/brief").begin(node.calls).await;
    let begun = head(&mut stalled).await;
    backend.received().await;

    // The backend server sees its connection close while the caller still holds its own.
    backend.closed().await;

    let mut next = get("/brief").begin(node.calls).await;
    assert_eq!(begun.status, 200);
    assert_eq!(head(&mut next).await.status, 200);
}

#[tokio::test]
async fn a_draining_backend_server_refuses_new_work_and_finishes_old() {
    let mut bench = bench().await;
    let mut held = post("/orders", "a").begin(bench.node.calls).await;
    bench.backend.received().await;
    let address = bench.backend.address;

    bench.node.announce("orders-1", address, "draining").await;
    // The news has not spread yet: the call still goes to the leaving backend server's node.
    let refused = post("/orders", "b").id("b").send(bench.node.calls).await;
    let news = bench.mesh.hear(&bench.node).await;
    bench.backend.let_one();
    let answered = answer(&mut held, false).await;

    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    assert_eq!(refused.reason(), "draining");
    assert_eq!(news.state, State::Draining);
    assert_eq!((answered.status, answered.text()), (200, "a"));
    assert_eq!(bench.backend.runs("b"), 0);
}

#[tokio::test]
async fn a_stopping_node_refuses_new_work_and_finishes_old() {
    let mut bench = bench().await;
    let mut held = post("/orders", "a").begin(bench.node.calls).await;
    bench.backend.received().await;

    bench.node.stop();
    let draining = bench.mesh.hear(&bench.node).await;
    let refused = post("/orders", "b").id("b").send(bench.node.calls).await;
    bench.backend.let_one();
    let answered = answer(&mut held, false).await;
    let gone = bench.mesh.hear(&bench.node).await;
    bench.node.stopped().await;

    assert_eq!((draining.state, gone.state), (State::Draining, State::Gone));
    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    assert_eq!((answered.status, answered.text()), (200, "a"));
    assert_eq!(bench.backend.runs("b"), 0);
}

#[tokio::test]
async fn a_call_ends_with_the_configuration_that_it_began_with() {
    let mut bench = bench().await;
    let mut held = post("/orders", "a").begin(bench.node.calls).await;
    bench.backend.received().await;

    bench
        .mesh
        .configure(2, &CONFIG.replace("\"/orders\"", "\"/moved\""));
    let refused = post("/orders", "b").id("b").send(bench.node.calls).await;
    bench.backend.let_one();
    let answered = answer(&mut held, false).await;

    assert_eq!((refused.status, refused.outcome()), (404, "not-run"));
    assert_eq!((answered.status, answered.text()), (200, "a"));
    assert_eq!(bench.backend.runs("b"), 0);
}

#[tokio::test]
async fn a_full_ring_loses_no_news_and_keeps_the_newest() {
    let mut mesh = Mesh::new();
    let node = mesh.node("only");
    for port in 1..=RING + 2 {
        let endpoint = format!("orders-{port}");
        let address = ([127, 0, 0, 1], port).into();
        node.announce(&endpoint, address, "ready").await;
    }
    let last = format!("orders-{}", RING + 2);
    let address = ([127, 0, 0, 1], RING + 2).into();
    node.announce(&last, address, "draining").await;

    let mut told = BTreeMap::new();
    for _ in 1..=RING + 2 {
        let news = mesh.hear(&node).await;
        told.insert(news.endpoint.to_string(), news.state);
    }

    let draining: Vec<_> = told
        .iter()
        .filter(|(_, state)| **state == State::Draining)
        .map(|(endpoint, _)| endpoint.clone())
        .collect();
    assert_eq!(told.len(), usize::from(RING) + 2);
    assert_eq!(draining, [last]);
}

#[tokio::test]
async fn a_loop_ends_at_the_hop_limit() {
    let mut mesh = Mesh::new();
    let node = mesh.node("only");
    node.announce("orders-1", node.calls, "ready").await;
    mesh.hear(&node).await;
    let looped = get("/orders").send(node.calls).await;

    let refused = get("/orders")
        .header("x-cicadagw-hops", "8")
        .send(node.calls)
        .await;

    assert_eq!(looped.status, 508);
    assert_eq!((refused.status, refused.outcome()), (508, "not-run"));
    assert_eq!(refused.reason(), "hop-limit");
}

#[tokio::test]
async fn what_no_node_carries_is_refused() {
    let bench = bench().await;
    let calls = bench.node.calls;

    let body = call("POST", "/orders").header("content-length", "99999999999");
    let headers = get("/orders").header("x-long", &"x".repeat(40 << 10));
    let hops = get("/orders").header("x-cicadagw-hops", "many");
    let answers = [
        body.send(calls).await,
        headers.send(calls).await,
        hops.send(calls).await,
        get("/elsewhere").send(calls).await,
    ];

    let statuses = answers.each_ref().map(|answer| answer.status);
    assert_eq!(statuses, [413, 431, 400, 404]);
    assert!(answers.iter().all(|answer| answer.outcome() == "not-run"));
}
