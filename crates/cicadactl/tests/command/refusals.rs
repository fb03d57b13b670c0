//! Invalid input and an unreachable platform are reported with a clear error, and change nothing.

use cicadagw_dev::platform::Change;

use crate::shell::{BROKEN, FAULTY, INITIAL_CONFIG, Shell, closed_address};

#[test]
fn invalid_and_missing_files_are_refused() {
    let mut shell = Shell::with_initial_config();

    // A configuration with findings, a file that is not valid JSON, and one that does not exist.
    for file in [FAULTY, BROKEN, "tests/files/none.jsonc"] {
        shell.run(&format!("check {file}"));
        shell.run(&format!("diff {file}"));
        shell.run(&format!("--operator asha apply {file}"));
    }
    shell.run(&format!("--json check {FAULTY}"));
    shell.run("history");

    insta::assert_snapshot!(shell.session());
}

#[test]
fn invalid_command_lines_are_usage_errors() {
    let mut shell = Shell::with_initial_config();

    shell.run("");
    shell.run("aply");
    shell.run("check");
    shell.run(&format!("apply {INITIAL_CONFIG}"));
    shell.run(&format!("--operator Asha apply {INITIAL_CONFIG}"));
    shell.run("--operator asha rollback one");
    shell.run("--operator asha preset use");
    shell.run("status --wait 1 --timeout 10s");
    shell.run("status --wait 1 --watch");
    shell.run("status --timeout 5ms");
    shell.run("dump kochi-a");
    shell.run_with(&[], "history", "no address");
    shell.run("history");

    insta::assert_snapshot!(shell.session());
}

#[test]
fn unknown_presets_and_versions_are_refused() {
    let mut shell = Shell::with_initial_config();

    shell.run("--operator asha preset use gone --change two");
    shell.run("--operator asha rollback 7 --change two");
    shell.run(&format!(
        "--operator asha apply {INITIAL_CONFIG} --preset gone --change two"
    ));
    shell.run("status --wait 7");
    shell.run("history");

    insta::assert_snapshot!(shell.session());
}

#[test]
fn commands_report_that_the_platform_is_empty() {
    let mut shell = Shell::new();

    for line in ["get", "history", "preset list", "status", "status --wait 1"] {
        shell.run(line);
    }
    shell.run("--operator asha preset use peak --change one");
    shell.run("--operator asha rollback 1 --change one");

    insta::assert_snapshot!(shell.session());
}

#[test]
fn commands_report_that_the_platform_is_down() {
    let mut shell = Shell::with_initial_config();
    shell.platform.control(Change {
        down: Some(true),
        ..Change::default()
    });

    for line in ["get", "history", "preset list", "status"] {
        shell.run(line);
    }
    shell.run("status --wait 1 --timeout 0ms");
    shell.run(&format!("diff {INITIAL_CONFIG}"));
    shell.run(&format!(
        "--operator asha apply {INITIAL_CONFIG} --change two"
    ));
    shell.run("--operator asha preset use peak --change two");
    shell.run("--operator asha rollback 1 --change two");

    insta::assert_snapshot!(shell.session());
}

#[test]
fn commands_report_that_nothing_listens_at_the_address() {
    let mut shell = Shell::new();
    let address = closed_address().to_string();

    shell.run_with(&["--platform", &address], "history", &address);
    for command in ["dump", "nodes", "endpoints"] {
        shell.run_with(&[], &format!("{command} {address}"), &address);
    }

    insta::assert_snapshot!(shell.session());
}
