//! Good settings are read; all that is wrong with bad ones is reported together.

use cicadagw_settings::load;

const GOOD: &str = r#"{
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
fn good_settings_are_read() {
    let settings = load("node.jsonc", GOOD).unwrap();

    insta::assert_json_snapshot!(settings);
}

#[test]
fn all_that_is_wrong_is_reported_together() {
    let text = GOOD
        .replace("kochi-a-1", "Kochi A 1")
        .replace("127.0.0.1:8102", "localhost")
        .replace("127.0.0.1:8104", "10.0.0.1:8104")
        .replace("\"rack\"", "\"rak\"");

    let findings = load("node.jsonc", &text).unwrap_err();

    insta::assert_snapshot!(findings.to_string());
}
