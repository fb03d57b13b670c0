//! Calls of client accounts with quotas need a token from an owner of the quota.

mod support;

use std::sync::Arc;

use cicadagw_call::quota::{Answer, Grant, Request};
use cicadagw_config::account::KeyDigest;
use cicadagw_unit::rate::Tokens;
use cicadagw_unit::time::Span;
use support::caller::{Response, get};
use support::mesh::{Mesh, Node};
use support::scripted::{Scripted, sealed};
use support::strict::Strict;

/// A configuration with two accounts, of which `north` has a quota.
const CONFIG: &str = r#"{
  "accounts": {
    "north": { "keys": ["NORTH"], "quota": { "rate": "8", "burst": "8" } },
    "south": { "keys": ["SOUTH"] },
  },
  "routes": {
    "orders": { "prefix": "/orders", "cluster": "orders", "policy": "plain" },
    "idle": { "prefix": "/idle", "cluster": "idle", "policy": "plain" },
  },
  "clusters": { "orders": { "service": "orders" }, "idle": { "service": "idle" } },
  "policies": { "plain": { "timeout": "30000ms" } },
  "presets": { "ordinary": {} },
}"#;

/// A node beside a backend server.
struct Fixture {
    _mesh: Mesh,
    backend: Scripted,
    node: Node,
}

impl Fixture {
    async fn new() -> Self {
        let mut mesh = Mesh::new();
        mesh.set_dialect(Arc::new(Strict));
        let digest = |key: &str| KeyDigest::of(key.as_bytes()).to_string();
        let config = CONFIG.replace("NORTH", &digest("north"));
        mesh.configure(2, &config.replace("SOUTH", &digest("south")));
        let node = mesh.node("near");
        let backend = Scripted::start(sealed).await;
        let response = node.announce("orders-1", backend.address, "ready").await;
        assert_eq!(response.status, 200);
        mesh.propagate(&node).await;
        Self {
            _mesh: mesh,
            backend,
            node,
        }
    }

    async fn call(&self, path: &str, key: &str) -> Response {
        let call = get(path).header("t-id", "a1").header("t-key", key);
        call.send(self.node.calls).await
    }

    /// Answers the next request for tokens with `tokens`.
    async fn answer(&self, tokens: u32) {
        let request = self.node.requests.recv().await.unwrap();
        self.grant(request, tokens);
    }

    /// Answers `request` with `tokens`.
    fn grant(&self, request: Request, tokens: u32) {
        let answer = Answer::Granted {
            is_dry: tokens == 0,
            pace: Span::seconds(1),
            tokens: Tokens::new(tokens),
        };
        let grant = Grant {
            account: request.ask.account,
            answer,
            number: request.ask.number,
        };
        assert!(self.node.grants.try_send(grant).is_ok());
    }
}

#[tokio::test]
async fn call_waits_for_the_answer_of_the_owner_and_runs() {
    let fixture = Fixture::new().await;

    let (response, ()) = tokio::join!(fixture.call("/orders", "north"), fixture.answer(1));

    assert_eq!(response.status, 200);
    assert_eq!(fixture.node.stats.counts().over_quota, 0);
}

#[tokio::test]
async fn call_over_the_quota_is_refused_with_the_time_to_come_back() {
    let fixture = Fixture::new().await;

    let (first, ()) = tokio::join!(fixture.call("/orders", "north"), fixture.answer(0));
    let second = fixture.call("/orders", "north").await;

    for response in [first, second] {
        assert_eq!(
            (response.status, response.outcome(), response.reason()),
            (429, "not-run", "over-quota")
        );
        assert!(response.headers.contains_key("retry-after"));
    }
    assert_eq!(fixture.node.stats.counts().over_quota, 2);
    assert!(fixture.backend.received().is_empty());
}

#[tokio::test]
async fn call_is_refused_as_unknown_while_no_owner_answers() {
    let fixture = Fixture::new().await;

    let response = fixture.call("/orders", "north").await;

    assert_eq!(
        (response.status, response.outcome(), response.reason()),
        (503, "not-run", "quota-unknown")
    );
}

#[tokio::test]
async fn call_of_an_account_without_a_quota_needs_no_token() {
    let fixture = Fixture::new().await;

    let response = fixture.call("/orders", "south").await;

    assert_eq!(response.status, 200);
    assert_eq!(fixture.node.requests.gauge().fill(), 0);
}

#[tokio::test]
async fn call_that_is_refused_for_another_reason_gives_its_token_back() {
    let fixture = Fixture::new().await;

    let (refused, ()) = tokio::join!(fixture.call("/idle", "north"), fixture.answer(1));
    let response = fixture.call("/orders", "north").await;

    assert_eq!((refused.status, refused.reason()), (503, "no-endpoint"));
    assert_eq!(response.status, 200);
}

#[tokio::test]
async fn late_answer_to_the_process_before_a_restart_is_ignored() {
    let former = Fixture::new().await;
    let (_, request) = tokio::join!(former.call("/orders", "north"), former.node.requests.recv());
    let restarted = Fixture::new().await;
    let answer_late = async {
        restarted.node.requests.recv().await.unwrap();
        restarted.grant(request.unwrap(), 1);
    };

    let (response, ()) = tokio::join!(restarted.call("/orders", "north"), answer_late);

    assert_eq!(response.status, 503);
    assert_eq!(response.reason(), "quota-unknown");
}
