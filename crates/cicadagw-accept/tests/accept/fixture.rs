//! Fixtures: configurations, requests and stores with accepted changes.

use cicadagw_accept::{Intent, Outcome, Request, apply_change};
use cicadagw_config::head::Entry;
use cicadagw_config::{Config, load};
use cicadagw_unit::{Version, id};

use crate::store::Fake;

/// Returns a configuration with a route for the prefix `/{path}`.
pub(crate) fn config(path: &str) -> Config {
    let text = format!(
        r#"{{
  "routes": {{ "shop": {{ "prefix": "/{path}", "cluster": "shop", "policy": "browse" }} }},
  "clusters": {{ "shop": {{ "service": "shop" }} }},
  "policies": {{ "browse": {{ "timeout": "500ms" }} }},
  "presets": {{ "ordinary": {{}}, "maintenance": {{}}, "peak": {{ "policies": {{ "browse": {{ "timeout": "250ms" }} }} }} }},
}}"#
    );
    load("shop.jsonc", &text).unwrap()
}

/// Returns a request that is not a dry run and has no base version.
pub(crate) fn request(change: &str, operator: &str, intent: Intent) -> Request {
    Request {
        base: None,
        change: change.parse().unwrap(),
        intent,
        operator: operator.parse().unwrap(),
        trial: false,
    }
}

/// Returns a request to apply [`config`] with the prefix `/{path}`.
pub(crate) fn apply(change: &str, operator: &str, path: &str) -> Request {
    let intent = Intent::Apply {
        config: Box::new(config(path)),
        preset: None,
    };
    request(change, operator, intent)
}

pub(crate) fn preset(change: &str, operator: &str, name: &str) -> Request {
    request(change, operator, Intent::Preset(name.parse().unwrap()))
}

pub(crate) fn rollback(change: &str, operator: &str, version: u64) -> Request {
    request(change, operator, Intent::Rollback(Version::new(version)))
}

/// Returns a store to which configurations with these paths were applied in order.
pub(crate) async fn store_with(paths: &[&str]) -> Fake {
    let store = Fake::default();
    for (index, path) in paths.iter().enumerate() {
        let outcome = apply_change(&store, apply(&format!("first-{index}"), "asha", path)).await;
        assert!(matches!(outcome, Outcome::Accepted(_)), "{outcome:?}");
    }
    store.calls();
    store
}

/// Returns the entry of the current version.
pub(crate) async fn current_entry(store: &Fake) -> Entry {
    let found = cicadagw_accept::read_head(store).await.unwrap().unwrap();
    found.head.newest().clone()
}

/// Returns how often the history holds a change.
pub(crate) async fn count(store: &Fake, change: &str) -> usize {
    let change: id::Change = change.parse().unwrap();
    let found = cicadagw_accept::read_head(store).await.unwrap().unwrap();
    let entries = found.head.history.iter();
    entries.filter(|entry| entry.change == change).count()
}
