//! Failures of backend servers and connections: nothing runs twice that must not, nothing that ran
//! is said not to have run, and no cut answer looks whole.

mod support;

use std::net::SocketAddr;

use support::backend::{Backend, Conduct, body};
use support::caller::{Answer, call, get, head, post};
use support::mesh::{Mesh, Node};

struct Bench {
    mesh: Mesh,
    near: Node,
    far: Node,
    backend: Backend,
}

/// Two nodes, and a backend server behind the far one.
async fn bench(conduct: Conduct) -> Bench {
    let mut mesh = Mesh::new();
    let (near, far) = (mesh.node("near"), mesh.node("far"));
    let backend = Backend::start(conduct).await;
    mesh.announce(&far, "orders-1", &backend).await;
    Bench {
        mesh,
        near,
        far,
        backend,
    }
}

/// Returns an address at which nothing listens: a system hands port 1 out to nobody.
fn nowhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 99, 1], 1))
}

#[tokio::test]
async fn a_request_on_a_reused_connection_that_closes_runs_once_at_most() {
    let bench = bench(Conduct::CloseSecond).await;
    post("/orders", "a").id("a").send(bench.near.calls).await;

    let answer = post("/orders", "b").id("b").send(bench.near.calls).await;

    assert_eq!((answer.status, answer.outcome()), (502, "unknown"));
    assert_eq!(bench.backend.runs("b"), 1);
}

#[tokio::test]
async fn an_idempotent_request_on_a_reused_connection_that_closes_is_tried_again() {
    let bench = bench(Conduct::CloseSecond).await;
    get("/orders").id("a").send(bench.near.calls).await;

    let answer = get("/orders").id("b").send(bench.near.calls).await;

    assert_eq!((answer.status, answer.outcome()), (200, "answered"));
    assert_eq!(bench.backend.runs("b"), 2);
    assert_eq!(bench.near.stats.counts().retries, 1);
}

#[tokio::test]
async fn a_request_that_ran_is_never_said_not_to_have_run() {
    let bench = bench(Conduct::Close).await;

    let answer = get("/orders").id("a").send(bench.near.calls).await;

    assert_eq!((answer.status, answer.outcome()), (502, "unknown"));
    assert_eq!(answer.reason(), "lost");
    assert_eq!(bench.backend.runs("a"), 3);
}

#[tokio::test]
async fn a_request_that_was_lost_and_then_refused_is_not_said_not_to_have_run() {
    let mut bench = bench(Conduct::Close).await;
    let answer = bench.near.announce("orders-2", nowhere(), "ready").await;
    assert_eq!(answer.status, 200);
    bench.mesh.hear(&bench.near).await;

    let answer = get("/orders").id("a").send(bench.near.calls).await;

    assert_eq!((answer.outcome(), answer.reason()), ("unknown", "lost"));
    assert!(bench.backend.runs("a") > 0);
}

#[tokio::test]
async fn a_backend_server_that_cannot_be_reached_did_not_run_the_request() {
    let mut mesh = Mesh::new();
    let node = mesh.node("only");
    node.announce("orders-1", nowhere(), "ready").await;
    mesh.hear(&node).await;

    let answer = post("/orders", "a").send(node.calls).await;

    assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
    assert_eq!(answer.reason(), "unreachable");
}

#[tokio::test]
async fn a_request_that_did_not_run_is_tried_at_another_endpoint() {
    let mut bench = bench(Conduct::Echo).await;
    bench.near.announce("orders-2", nowhere(), "ready").await;
    bench.mesh.hear(&bench.near).await;

    let answer = post("/orders", "a").id("a").send(bench.near.calls).await;

    assert_eq!((answer.status, answer.outcome()), (200, "answered"));
    assert_eq!(bench.backend.runs("a"), 1);
}

/// Returns what a caller gets of an answer that is cut once its head has come.
async fn cut_answer(conduct: Conduct) -> Answer {
    let bench = bench(conduct).await;
    let mut stream = post("/orders", "crock").begin(bench.near.calls).await;
    let mut answer = head(&mut stream).await;
    bench.backend.let_one();
    answer.body = body(&mut stream, &answer.headers).await;
    answer
}

#[tokio::test]
async fn a_cut_answer_with_a_length_is_seen_as_cut() {
    let answer = cut_answer(Conduct::CutLength).await;

    assert_eq!((answer.status, answer.body), (200, None));
}

#[tokio::test]
async fn a_cut_answer_in_chunks_is_seen_as_cut() {
    let answer = cut_answer(Conduct::CutChunked).await;

    assert_eq!((answer.status, answer.body), (200, None));
}

#[tokio::test]
async fn an_answer_that_ends_with_its_connection_is_passed_on_whole() {
    let bench = bench(Conduct::NoLength).await;

    let answer = post("/orders", "crock").send(bench.near.calls).await;

    assert_eq!((answer.status, answer.outcome()), (200, "answered"));
    assert_eq!(answer.text(), "crock");
}

#[tokio::test]
async fn an_answer_without_a_length_whose_connection_is_reset_is_not_passed_on_as_whole() {
    let bench = bench(Conduct::NoLengthReset).await;

    let answer = post("/orders", "crock").send(bench.near.calls).await;

    assert_eq!((answer.status, answer.outcome()), (502, "unknown"));
}

#[tokio::test]
async fn a_request_that_its_caller_cut_does_not_run() {
    let mut bench = bench(Conduct::Echo).await;
    let cut = call("POST", "/orders")
        .id("cut")
        .header("content-length", "10")
        .raw_body(b"cro");
    drop(cut.begin(bench.near.calls).await);

    let whole = post("/orders", "crock").id("whole");
    let answer = whole.send(bench.near.calls).await;

    let received = bench.backend.received().await;
    assert_eq!((answer.status, &*received.headers["x-id"]), (200, "whole"));
    assert_eq!(bench.backend.runs("cut"), 0);
}

#[tokio::test]
async fn an_id_that_is_gone_does_not_come_back() {
    let bench = bench(Conduct::Echo).await;
    let end = call("DELETE", "/announce/orders-1");
    let ended = end.send(bench.far.announce).await;

    let address = bench.backend.address;
    let answer = bench.far.announce("orders-1", address, "ready").await;

    assert_eq!((ended.status, answer.status), (204, 410));
    let refused = post("/orders", "a").id("a").send(bench.near.calls).await;
    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    assert_eq!(bench.backend.runs("a"), 0);
}
