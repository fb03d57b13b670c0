//! Snapshot tests of sequences of `cicadactl` commands.

use cicadagw_dev::platform::Change;
use serde_json::{Value, json};

use crate::shell::{CHANGED_CONFIG, INITIAL_CONFIG, Shell, serve_dump};

/// The dump of a node, reduced to what the commands show.
const DUMP: &str = r#"{
  "endpoints": {
    "shop-1": {
      "address": "127.0.0.1:7102", "domain": "kochi-a", "endpoint": "shop-1",
      "link": "127.0.0.1:7101", "node": "n1", "rack": "r1", "region": "kochi", "sequence": 3,
      "service": "shop", "slots": 10, "state": "ready"
    },
    "shop-2": {
      "address": "127.0.0.1:7202", "domain": "kochi-b", "endpoint": "shop-2",
      "link": "127.0.0.1:7201", "node": "n2", "rack": "r2", "region": "kochi", "sequence": 9,
      "service": "shop", "slots": 10, "state": "gone"
    }
  },
  "identity": {
    "domain": "kochi-a", "region": "kochi",
    "member": { "link": "127.0.0.1:7001", "node": "n0", "rack": "r0" }
  },
  "children": [{ "link": "127.0.0.1:7101", "node": "n1", "rack": "r1" }],
  "path": [{ "link": "127.0.0.1:7301", "node": "n3", "rack": "r3" }]
}"#;

#[test]
fn an_operator_checks_applies_switches_presets_and_rolls_back() {
    let mut shell = Shell::new();

    shell.run(&format!("check {INITIAL_CONFIG}"));
    shell.run(&format!(
        "--operator asha apply {INITIAL_CONFIG} --dry-run --change one"
    ));
    shell.run(&format!(
        "--operator asha apply {INITIAL_CONFIG} --change one"
    ));
    shell.run("get");
    shell.run("preset list");
    shell.run(&format!("diff {CHANGED_CONFIG}"));
    shell.run(&format!(
        "--operator beena apply {CHANGED_CONFIG} --change two"
    ));
    shell.run(&format!("diff {CHANGED_CONFIG}"));
    shell.run("--operator beena preset use peak --change three");
    shell.run("--operator asha rollback 1 --change four");
    shell.run("history");
    shell.run("status");

    insta::assert_snapshot!(shell.session());
}

#[test]
fn commands_print_json_for_scripts() {
    let mut shell = Shell::with_initial_config();

    shell.run(&format!("--json check {INITIAL_CONFIG}"));
    shell.run(&format!("--json diff {CHANGED_CONFIG}"));
    shell.run("--json --operator asha preset use peak --change two");
    shell.run("--json preset list");
    shell.run("--json status");
    shell.run("--json --operator asha rollback 9 --change three");

    insta::assert_snapshot!(shell.session());
}

#[test]
fn a_change_id_takes_effect_once() {
    let mut shell = Shell::with_initial_config();

    shell.run(&format!(
        "--operator asha apply {CHANGED_CONFIG} --change two"
    ));
    shell.run(&format!(
        "--operator asha apply {CHANGED_CONFIG} --change two"
    ));
    shell.run(&format!(
        "--operator asha apply {INITIAL_CONFIG} --change two"
    ));
    shell.run("history");

    insta::assert_snapshot!(shell.session());
}

#[test]
fn a_change_based_on_an_old_version_is_a_conflict() {
    let mut shell = Shell::with_initial_config();

    shell.run("--operator beena preset use peak --change theirs");
    shell.run(&format!(
        "--operator asha apply {CHANGED_CONFIG} --change mine --base 1"
    ));
    shell.run("history");

    insta::assert_snapshot!(shell.session());
}

#[test]
fn a_lost_response_to_a_write_does_not_apply_the_change_twice() {
    let mut shell = Shell::with_initial_config();
    shell.platform.control(Change {
        drop_answer_of_next_put: Some(true),
        ..Change::default()
    });

    shell.run(&format!(
        "--operator asha apply {CHANGED_CONFIG} --change two"
    ));
    shell.run("history");

    insta::assert_snapshot!(shell.session());
}

/// Returns the status of a failure domain of three nodes.
fn status(domain: &str, newest: u64, lowest: u64, laggards: &Value) -> Value {
    json!({
        "domain": domain,
        "newest": newest,
        "report": { "lowest": lowest, "count": 3, "serving": 3, "laggards": laggards },
        "root": format!("{domain}-1"),
        "written": 4,
    })
}

#[test]
fn status_describes_every_failure_domain() {
    let mut shell = Shell::with_initial_config();
    shell.run("--operator asha preset use peak --change two");
    for domain in ["kochi-a", "kochi-b", "kozhikode-a", "kozhikode-b"] {
        shell.put(&format!("directory/{domain}"), &json!({}));
    }
    let refused = json!([{
        "node": "kochi-b-2",
        "held": 1,
        "reason": { "refused": "the content of a part does not match its digest" },
    }]);
    shell.put("status/kochi-a", &status("kochi-a", 2, 2, &json!([])));
    shell.put("status/kochi-b", &status("kochi-b", 2, 1, &refused));
    shell.put(
        "status/kozhikode-a",
        &status("kozhikode-a", 1, 1, &json!([])),
    );

    shell.run("status");
    shell.run("--json status");
    shell.run("status --wait 2 --timeout 0ms");
    shell.put("status/kochi-b", &status("kochi-b", 2, 2, &json!([])));
    shell.put(
        "status/kozhikode-a",
        &status("kozhikode-a", 2, 2, &json!([])),
    );
    shell.put(
        "status/kozhikode-b",
        &status("kozhikode-b", 2, 2, &json!([])),
    );
    shell.run("status --wait 2 --timeout 60000ms");

    insta::assert_snapshot!(shell.session());
}

#[test]
fn node_commands_show_the_dump_of_a_node() {
    let mut shell = Shell::new();
    let address = serve_dump(DUMP).to_string();

    for command in ["nodes", "endpoints", "--json nodes", "dump"] {
        shell.run_with(&[], &format!("{command} {address}"), &address);
    }

    insta::assert_snapshot!(shell.session());
}
