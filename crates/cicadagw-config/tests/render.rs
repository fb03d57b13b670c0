//! A rendered configuration loads back to the same configuration.

use cicadagw_config::{Config, load, render};

/// A configuration with objects of every kind.
const FULL: &str = r#"{
  "accounts": {
    "club": {
      "keys": ["00112233445566778899aabbccddeeff"], "priority": "1",
      "quota": { "rate": "12.5", "burst": "30" },
    },
  },
  "routes": {
    "shop": {
      "prefix": "/shop", "cluster": "shop", "policy": "browse", "host": "shop.example",
      "public": true,
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

fn full() -> Config {
    load("full.jsonc", FULL).unwrap()
}

#[test]
fn a_rendered_configuration_loads_back_unchanged() {
    let config = full();

    let text = render(&config).to_string();

    assert_eq!(load("rendered.jsonc", &text), Ok(config));
}

#[test]
fn accounts_that_are_declared_without_any_stay_declared() {
    let mut config = full();
    config.accounts.clear();
    let undeclared = serde_json::to_string(&config).unwrap();
    config.requires_keys = true;

    let text = render(&config).to_string();

    assert!(!undeclared.contains("requires_keys"), "{undeclared}");
    assert_eq!(load("rendered.jsonc", &text), Ok(config));
}
