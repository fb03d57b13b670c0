//! Enforcement of a dialect: header names, validation of responses, retry hints and readiness.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use cicadagw_unit::time::Span;
use support::caller::{Call, Response, get, post};
use support::mesh::{Mesh, Node};
use support::scripted::{Scripted, response, sealed};
use support::strict::Strict;

/// The header lines of a refusal that states that the request was not executed.
const REFUSAL: &str = "t-id: a1\r\nt-not-run: 1\r\n";

/// A mesh that uses the dialect, with one node for callers and one for backend servers.
struct Fixture {
    mesh: Mesh,
    /// The node of the caller.
    near: Node,
    /// The node of the backend servers.
    far: Node,
}

impl Fixture {
    fn new() -> Self {
        let mut mesh = Mesh::new();
        mesh.set_dialect(Arc::new(Strict));
        let (near, far) = (mesh.node("near"), mesh.node("far"));
        Self { mesh, near, far }
    }

    /// Announces a backend server at the far node.
    async fn add(&mut self, endpoint: &str, backend: &Scripted) {
        let response = self.far.announce(endpoint, backend.address, "ready").await;
        assert_eq!(response.status, 200);
        self.mesh.propagate(&self.far).await;
    }

    async fn call(&self, call: Call) -> Response {
        call.header("t-id", "a1").send(self.near.calls).await
    }
}

async fn fixture(script: support::scripted::Script) -> (Fixture, Scripted) {
    let mut fixture = Fixture::new();
    let backend = Scripted::start(script).await;
    fixture.add("orders-1", &backend).await;
    (fixture, backend)
}

#[tokio::test]
async fn success_without_seal_is_rejected() {
    let (fixture, _) = fixture(|_| Some(response("200 OK", "t-id: a1\r\n", "forged"))).await;

    let response = fixture.call(post("/orders", "x")).await;

    assert_eq!((response.status, response.outcome()), (502, "unknown"));
}

#[tokio::test]
async fn stale_response_is_skipped() {
    let (fixture, _) = fixture(|request| {
        let stale = response("200 OK", "t-id: old\r\nt-seal: s\r\n", "stale");
        Some(stale + &sealed(request)?)
    })
    .await;

    let response = fixture.call(post("/orders", "x")).await;

    assert_eq!((response.status, response.text()), (200, "own"));
}

#[tokio::test]
async fn unrequested_content_encoding_is_rejected() {
    let (fixture, _) = fixture(|_| {
        let head = "t-id: a1\r\nt-seal: s\r\ncontent-encoding: gzip\r\n";
        Some(response("200 OK", head, "zip"))
    })
    .await;

    let response = fixture.call(post("/orders", "x")).await;

    assert_eq!((response.status, response.outcome()), (502, "unknown"));
}

#[tokio::test]
async fn refusal_marked_not_run_is_retried_at_another_endpoint() {
    let (mut fixture, refusing) =
        fixture(|_| Some(response("503 Service Unavailable", REFUSAL, ""))).await;
    let healthy = Scripted::start(sealed).await;
    fixture.add("orders-2", &healthy).await;

    for _ in 0..4 {
        let response = fixture.call(post("/orders", "x")).await;

        assert_eq!((response.status, response.text()), (200, "own"));
    }
    assert_eq!(healthy.received().len(), 4);
    assert!(refusing.received().len() <= 4);
}

#[tokio::test]
async fn unmarked_refusal_ends_as_unknown() {
    for status in [
        "408 Request Timeout",
        "429 Too Many Requests",
        "503 Service Unavailable",
    ] {
        let mut fixture = Fixture::new();
        let script: support::scripted::Script = match &status[..3] {
            "408" => |_| Some(response("408 Request Timeout", "t-id: a1\r\n", "")),
            "429" => |_| Some(response("429 Too Many Requests", "t-id: a1\r\n", "")),
            _ => |_| Some(response("503 Service Unavailable", "t-id: a1\r\n", "")),
        };
        let backend = Scripted::start(script).await;
        fixture.add("orders-1", &backend).await;

        let response = fixture.call(post("/orders", "x")).await;

        assert_eq!(
            (response.status, response.outcome()),
            (502, "unknown"),
            "{status}"
        );
    }
}

#[tokio::test]
async fn response_without_id_is_not_attributed_to_the_request() {
    for script in [
        (|_| Some(response("503 Service Unavailable", "t-not-run: 1\r\n", "")))
            as support::scripted::Script,
        |_| Some(response("421 Misdirected Request", "", "")),
        |_| Some(response("500 Internal Server Error", "", "no")),
        |_| Some(response("200 OK", "t-seal: s\r\n", "other")),
    ] {
        let (fixture, _) = fixture(script).await;

        let response = fixture.call(post("/orders", "x")).await;

        assert_eq!((response.status, response.outcome()), (502, "unknown"));
    }
}

#[tokio::test]
async fn misdirected_request_ends_as_not_run() {
    let (fixture, backend) =
        fixture(|_| Some(response("421 Misdirected Request", "t-id: a1\r\n", ""))).await;

    let response = fixture.call(post("/orders", "x")).await;

    assert_eq!((response.status, response.outcome()), (503, "not-run"));
    assert_eq!(backend.received()[0].headers["t-endpoint"], "orders-1");
}

#[tokio::test]
async fn failure_is_retried_only_if_idempotent() {
    let (mut fixture, failing) =
        fixture(|_| Some(response("500 Internal Server Error", "t-id: a1\r\n", "no"))).await;
    let healthy = Scripted::start(sealed).await;

    let written = fixture.call(post("/orders", "x")).await;
    fixture.add("orders-2", &healthy).await;
    let read = fixture.call(get("/orders")).await;

    assert_eq!((written.status, written.text()), (500, "no"));
    assert_eq!((read.status, read.text()), (200, "own"));
    assert!(failing.received().len() <= 2);
}

#[tokio::test]
async fn caller_service_and_deadline_headers_are_set_by_node() {
    let (fixture, backend) = fixture(sealed).await;
    let call = post("/orders", "x")
        .header("t-caller", "forged")
        .header("t-endpoint", "forged")
        .header("t-left", "900");

    fixture.call(call).await;

    let headers = &backend.received()[0].headers;
    assert_eq!(headers["t-caller"], "shop");
    assert_eq!(headers["t-endpoint"], "orders-1");
    let left: u64 = headers["t-left"].parse().unwrap();
    assert!((1..=900).contains(&left), "{left}");
    assert!(headers.keys().all(|name| !name.starts_with("x-cicadagw-")));
}

#[tokio::test]
async fn hanging_request_is_answered_by_another_endpoint() {
    let (mut fixture, hanging) = fixture(|_| None).await;
    let healthy = Scripted::start(sealed).await;
    fixture.add("orders-2", &healthy).await;

    for _ in 0..6 {
        let response = fixture.call(get("/orders")).await;

        assert_eq!((response.status, response.text()), (200, "own"));
    }
    assert!(!hanging.received().is_empty());
}

#[tokio::test]
async fn call_that_would_miss_latency_target_is_refused_with_retry_after() {
    let mut fixture = Fixture::new();
    fixture
        .mesh
        .configure(2, support::mesh::TARGET_LATENCY_CONFIG);
    let backend = Scripted::start(|_| None).await;
    fixture.add("orders-1", &backend).await;
    // The first call shows how long calls take; the second occupies the only slot for the rest of
    // the test.
    let first = post("/slow", "x")
        .header("t-id", "a0")
        .header("t-left", "400");
    first.send(fixture.near.calls).await;
    let second = post("/slow", "x").header("t-id", "a2");
    let _running = second.begin(fixture.near.calls).await;
    while backend.received().len() < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let begin = Instant::now();

    let response = fixture
        .call(post("/slow", "x").header("t-left", "300"))
        .await;

    assert_eq!((response.status, response.outcome()), (503, "not-run"));
    // A caller heeds the field up to a third of the time that it has left.
    let retry_after: f64 = response.headers["retry-after"].parse().unwrap();
    assert!((0.02..=0.1).contains(&retry_after), "{retry_after}");
    let counts = fixture.far.stats.counts();
    assert_eq!((counts.shed, counts.shed_by_priority), (1, [1, 0, 0, 0]));
    assert!(
        begin.elapsed() < Duration::from_millis(250),
        "{:?}",
        begin.elapsed()
    );
    assert_eq!(backend.received().len(), 2);
}

#[tokio::test]
async fn response_with_known_length_releases_slot_during_transfer() {
    let mut fixture = Fixture::new();
    fixture
        .mesh
        .configure(2, support::mesh::TARGET_LATENCY_CONFIG);
    // The rest of the body never arrives.
    let backend = Scripted::start(|request| {
        let id = &request.headers["t-id"];
        let head = format!("t-id: {id}\r\nt-seal: s\r\ncontent-length: 9\r\n");
        Some(format!("HTTP/1.1 200 OK\r\n{head}\r\nhalf"))
    })
    .await;
    fixture.add("orders-1", &backend).await;
    let _first = post("/slow", "x")
        .header("t-id", "a0")
        .begin(fixture.near.calls)
        .await;
    while backend.received().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    let _second = post("/slow", "x")
        .header("t-id", "a2")
        .begin(fixture.near.calls)
        .await;
    let second_is_executed = async {
        while backend.received().len() < 2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };

    let outcome = tokio::time::timeout(Duration::from_secs(10), second_is_executed).await;
    assert!(
        outcome.is_ok(),
        "the slot was not released before the end of the body"
    );
}

#[tokio::test]
async fn stopping_node_serves_callers_and_reports_not_ready() {
    let mut mesh = Mesh::new();
    mesh.set_dialect(Arc::new(Strict));
    mesh.set_shutdown_delay(Span::seconds(20));
    let (near, far) = (mesh.node("near"), mesh.node("far"));
    let backend = Scripted::start(sealed).await;
    far.announce("orders-1", backend.address, "ready").await;
    mesh.propagate(&far).await;
    let before = get("/ready").send(near.ready).await;

    near.start_shutdown();
    let mut ready = get("/ready").send(near.ready).await;
    while ready.status == 200 {
        ready = get("/ready").send(near.ready).await;
    }
    let served = post("/orders", "x")
        .header("t-id", "a1")
        .send(near.calls)
        .await;

    assert_eq!((before.status, ready.status), (200, 503));
    assert_eq!((served.status, served.text()), (200, "own"));
    assert_eq!(served.headers["connection"], "close");
}
