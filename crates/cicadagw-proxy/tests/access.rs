//! Keys of client accounts: who is refused, and what reaches a backend server.

mod support;

use std::sync::Arc;

use cicadagw_unit::time::Span;
use support::caller::{Call, Response, get};
use support::mesh::{Mesh, Node};
use support::scripted::{Scripted, sealed};
use support::strict::Strict;

/// A configuration with the account `north`, whose key is `open-north`, and a public route.
const CONFIG: &str = r#"{
  "accounts": { "north": { "keys": ["DIGEST"] } },
  "routes": {
    "orders": { "prefix": "/orders", "cluster": "orders", "policy": "plain" },
    "status": { "prefix": "/status", "cluster": "orders", "policy": "plain", "public": true },
  },
  "clusters": { "orders": { "service": "orders" } },
  "policies": { "plain": { "timeout": "30000ms" } },
  "presets": { "ordinary": {} },
}"#;

/// The key of the account `north`.
const KEY: &str = "open-north";

/// A mesh with one node for callers and one for a backend server.
struct Fixture {
    mesh: Mesh,
    near: Node,
    far: Node,
    backend: Scripted,
}

impl Fixture {
    async fn new() -> Self {
        Self::with_mesh(Mesh::new()).await
    }

    async fn with_mesh(mut mesh: Mesh) -> Self {
        mesh.set_dialect(Arc::new(Strict));
        mesh.configure(2, &config());
        let (near, far) = (mesh.node("near"), mesh.node("far"));
        let backend = Scripted::start(sealed).await;
        let response = far.announce("orders-1", backend.address, "ready").await;
        assert_eq!(response.status, 200);
        mesh.propagate(&far).await;
        Self {
            mesh,
            near,
            far,
            backend,
        }
    }

    async fn call(&self, call: Call) -> Response {
        call.header("t-id", "a1").send(self.near.calls).await
    }
}

fn config() -> String {
    let digest = cicadagw_config::account::KeyDigest::of(KEY.as_bytes());
    CONFIG.replace("DIGEST", &digest.to_string())
}

#[tokio::test]
async fn call_without_key_of_an_account_is_refused() {
    let fixture = Fixture::new().await;

    for call in [
        get("/orders"),
        get("/orders").header("t-key", "open-south"),
        get("/orders").header("t-key", "Open-North"),
        get("/orders").header("t-key", KEY).header("t-key", "other"),
        get("/orders").header("t-account", "north"),
        get("/orders").header("x-cicadagw-account", "north"),
    ] {
        let response = fixture.call(call).await;

        assert_eq!(response.status, 401);
        assert_eq!(
            (response.outcome(), response.reason()),
            ("not-run", "unauthorized")
        );
    }
    assert!(fixture.backend.received().is_empty());
}

#[tokio::test]
async fn backend_server_gets_the_account_and_never_the_key() {
    let fixture = Fixture::new().await;

    // The first node relays the call, the second one delivers it itself.
    for node in [&fixture.near, &fixture.far] {
        let call = get("/orders").header("t-key", KEY);
        let call = call.header("T-Account", "south").header("t-id", "a1");
        let response = call.send(node.calls).await;

        assert_eq!(response.status, 200);
    }

    let received = fixture.backend.received();
    assert_eq!(received.len(), 2);
    for request in received {
        assert_eq!(request.headers["t-account"], "north");
        let values: Vec<_> = request.headers.values().collect();
        assert!(!format!("{values:?}").contains(KEY), "{values:?}");
    }
}

#[tokio::test]
async fn account_stated_by_a_caller_is_dropped_on_a_public_route_and_without_accounts() {
    let mut fixture = Fixture::new().await;
    let call = || get("/status").header("t-account", "north");
    fixture.call(call()).await;
    fixture.mesh.configure(3, support::mesh::CONFIG);
    fixture
        .call(get("/orders").header("t-account", "north"))
        .await;

    let received = fixture.backend.received();
    assert_eq!(received.len(), 2);
    for request in received {
        assert!(!request.headers.contains_key("t-account"));
    }
}

#[tokio::test]
async fn revoked_key_is_refused_under_the_next_version() {
    let mut fixture = Fixture::new().await;
    let call = || get("/orders").header("t-key", KEY);
    let before = fixture.call(call()).await.status;

    fixture.mesh.configure(3, &CONFIG.replace("\"DIGEST\"", ""));

    let after = fixture.call(call()).await.status;
    assert_eq!((before, after), (200, 401));
}

#[tokio::test]
async fn key_is_refused_while_the_configuration_may_be_outdated() {
    let mut mesh = Mesh::new();
    mesh.set_revocation(Span::seconds(5));
    let mut fixture = Fixture::with_mesh(mesh).await;

    for (age, expected) in [
        (None, 503),
        (Some(0), 200),
        (Some(4_000), 200),
        (Some(6_000), 503),
        (Some(0), 200),
    ] {
        fixture.mesh.confirm(age.map(Span::new));
        let response = fixture.call(get("/orders").header("t-key", KEY)).await;
        let public = fixture.call(get("/status")).await;
        let ready = get("/ready").send(fixture.near.ready).await;

        assert_eq!((response.status, public.status), (expected, 200), "{age:?}");
        assert_eq!(ready.status == 200, expected == 200, "{age:?}");
        if expected == 503 {
            assert_eq!(
                (response.outcome(), response.reason()),
                ("not-run", "stale")
            );
            assert!(response.headers.contains_key("retry-after"));
        }
    }
}

#[tokio::test]
async fn call_that_another_node_has_accepted_runs_though_the_configuration_is_outdated() {
    let mut mesh = Mesh::new();
    mesh.set_revocation(Span::seconds(5));
    let mut fixture = Fixture::with_mesh(mesh).await;
    fixture.mesh.confirm(Some(Span::seconds(9)));
    let call = get("/orders")
        .header("x-cicadagw-endpoint", "orders-1")
        .header("x-cicadagw-cluster", "orders")
        .header("x-cicadagw-policy", "plain")
        .header("x-cicadagw-account", "north")
        .header("t-id", "a1");

    let response = call.send(fixture.far.calls).await;

    assert_eq!(response.status, 200);
    assert_eq!(fixture.backend.received()[0].headers["t-account"], "north");
}
