//! What backend servers say of themselves in responses: a rate limit, and that they are leaving.

mod support;

use std::time::{Duration, Instant};

use cicadagw_endpoint::State;
use cicadagw_unit::rate::CallRate;
use support::backend::Received;
use support::caller::{Response, get, post};
use support::mesh::{Mesh, Node};
use support::scripted::{Script, Scripted, response};

/// The longest time after which a refusal counts as immediate.
const AT_ONCE: Duration = Duration::from_millis(500);

/// A node for callers, one for a backend server, and that server.
struct Fixture {
    mesh: Mesh,
    near: Node,
    far: Node,
    backend: Scripted,
}

async fn fixture(script: Script) -> Fixture {
    let mut mesh = Mesh::new();
    let (near, far) = (mesh.node("near"), mesh.node("far"));
    let backend = Scripted::start(script).await;
    far.announce("orders-1", backend.address, "ready").await;
    mesh.propagate(&far).await;
    Fixture {
        mesh,
        near,
        far,
        backend,
    }
}

impl Fixture {
    async fn call(&self) -> Response {
        get("/orders").send(self.near.calls).await
    }
}

#[expect(clippy::unnecessary_wraps, reason = "it has the type of a script")]
fn limited(_: &Received) -> Option<String> {
    Some(response("200 OK", "backend-limit: 0.5\r\n", "ok"))
}

#[expect(clippy::unnecessary_wraps, reason = "it has the type of a script")]
fn leaving(_: &Received) -> Option<String> {
    Some(response("200 OK", "backend-leaving: 1\r\n", "ok"))
}

#[expect(clippy::unnecessary_wraps, reason = "it has the type of a script")]
fn unreadable_limit(_: &Received) -> Option<String> {
    Some(response("200 OK", "backend-limit: many\r\n", "ok"))
}

/// Names a limit in the responses to POST requests only.
#[expect(clippy::unnecessary_wraps, reason = "it has the type of a script")]
fn limited_once(request: &Received) -> Option<String> {
    let head = match request.method.as_str() {
        "POST" => "backend-limit: 2\r\n",
        _ => "",
    };
    Some(response("200 OK", head, "ok"))
}

#[tokio::test]
async fn call_beyond_the_named_limit_is_refused_at_once() {
    let fixture = fixture(limited).await;
    let first = fixture.call().await;
    assert_eq!((first.status, first.text()), (200, "ok"));

    let begin = Instant::now();
    let second = fixture.call().await;

    assert_eq!((second.status, second.reason()), (503, "limited"));
    assert_eq!(second.outcome(), "not-run");
    assert!(begin.elapsed() < AT_ONCE);
    assert!(second.headers.contains_key("retry-after"));
    assert_eq!(fixture.backend.received().len(), 1);
}

#[tokio::test]
async fn limit_is_published_to_nodes_that_never_called_the_server() {
    let mut fixture = fixture(limited).await;
    fixture.call().await;

    let update = fixture.mesh.propagate(&fixture.far).await;

    assert_eq!(update.limit, Some(CallRate::from_milli(500)));
    assert_eq!(update.state, State::Ready);
}

#[tokio::test]
async fn call_beyond_the_limit_goes_to_an_endpoint_that_has_room() {
    let mut fixture = fixture(limited).await;
    fixture.call().await;
    let other = Scripted::start(|_| Some(response("200 OK", "", "other"))).await;
    fixture
        .far
        .announce("orders-2", other.address, "ready")
        .await;
    fixture.mesh.propagate(&fixture.far).await;

    for _ in 0..5 {
        let answer = fixture.call().await;

        assert_eq!((answer.status, answer.text()), (200, "other"));
    }
}

#[tokio::test]
async fn limit_ends_with_a_response_that_does_not_name_it() {
    let fixture = fixture(limited_once).await;
    let named = post("/orders", "x").send(fixture.near.calls).await;
    assert_eq!(named.status, 200);
    // The limit allows another call after half a second; its response names none.
    tokio::time::sleep(Duration::from_millis(700)).await;

    for _ in 0..5 {
        let answer = fixture.call().await;

        assert_eq!(answer.status, 200);
    }
}

#[tokio::test]
async fn unreadable_limit_is_ignored() {
    let fixture = fixture(unreadable_limit).await;

    for _ in 0..5 {
        let answer = fixture.call().await;

        assert_eq!(answer.status, 200);
    }
}

#[tokio::test]
async fn server_that_says_it_is_leaving_gets_no_call_although_it_announces_itself_as_ready() {
    let mut fixture = fixture(leaving).await;
    let answer = fixture.call().await;
    assert_eq!((answer.status, answer.text()), (200, "ok"));
    let update = fixture.mesh.propagate(&fixture.far).await;
    assert_eq!(update.state, State::Draining);

    fixture
        .far
        .announce("orders-1", fixture.backend.address, "ready")
        .await;
    let refused = fixture.call().await;

    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    assert_eq!(fixture.backend.received().len(), 1);
}

#[tokio::test]
async fn leaving_outlives_a_restart_of_the_node_beside_the_server() {
    let mut fixture = fixture(leaving).await;
    assert_eq!(fixture.call().await.status, 200);
    // The new process of the node knows nothing of the response, and the server still says `ready`.
    let restarted = fixture.mesh.node("far");
    restarted
        .announce("orders-1", fixture.backend.address, "ready")
        .await;
    fixture.mesh.propagate(&restarted).await;

    let refused = fixture.call().await;

    assert_eq!((refused.status, refused.reason()), (503, "no-endpoint"));
    assert_eq!(fixture.backend.received().len(), 1);
}
