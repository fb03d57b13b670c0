//! A configuration returns from its declared form.

use cicadagw_config::{Config, load, render};

/// Every field of every kind.
const WHOLE: &str = r#"{
  "routes": {
    "shop": {
      "prefix": "/shop", "cluster": "shop", "policy": "browse", "host": "shop.example",
      "method": "GET", "header": { "name": "x-trial", "value": "yes" },
    },
  },
  "clusters": { "shop": { "service": "shop", "secret": "key", "panic_threshold": "300permille" } },
  "secrets": { "key": { "header": "x-key", "value": "hush" } },
  "policies": {
    "browse": {
      "attempts": 2, "concurrency": "7", "idempotency": "never", "queue": "3",
      "retry_budget": "100permille", "timeout": "500ms",
    },
  },
  "presets": {
    "ordinary": {},
    "peak": { "policies": { "browse": { "timeout": "250ms", "attempts": 1 } } },
  },
}"#;

fn whole() -> Config {
    load("whole.jsonc", WHOLE).unwrap()
}

#[test]
fn a_configuration_returns_from_its_declared_form() {
    let config = whole();

    let text = render(&config).to_string();

    assert_eq!(load("declared.jsonc", &text), Ok(config));
}
