//! Valid settings load, and all errors of invalid settings are reported together.

use cicadagw_settings::load;

const VALID: &str = r#"{
  // One node of the first failure domain.
  "node": "kochi-a-1",
  "domain": "kochi-a",
  "region": "kochi",
  "rack": "rack-1",
  "calls": "127.0.0.1:8101",
  "link": "127.0.0.1:8102",
  "announce": "127.0.0.1:8103",
  "admin": "127.0.0.1:8104",
  "platform": ["127.0.0.1:7000"],
}"#;

#[test]
fn valid_settings_load() {
    let settings = load("node.jsonc", VALID).unwrap();

    insta::assert_json_snapshot!(settings);
}

#[test]
fn all_errors_are_reported_together() {
    let text = VALID
        .replace("kochi-a-1", "Kochi A 1")
        .replace("127.0.0.1:8102", "localhost")
        .replace("127.0.0.1:8104", "10.0.0.1:8104")
        .replace("\"rack\"", "\"rak\"");

    let findings = load("node.jsonc", &text).unwrap_err();

    insta::assert_snapshot!(findings.to_string());
}
