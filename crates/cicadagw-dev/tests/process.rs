//! Tests of child processes, scratch directories and the settings of a fleet.

use std::collections::BTreeSet;
use std::os::unix::process::ExitStatusExt;
use std::process::Command;

use cicadagw_dev::process::{Fleet, Locality, Process, Programs, ScratchDir, Signal};
use cicadagw_unit::time::Span;
use serde_json::json;

/// A timeout that no test reaches.
const LONG: Span = Span::seconds(60);

/// The signal number of `SIGTERM`.
const SIGTERM: i32 = 15;

/// The signal number of `SIGKILL`.
const SIGKILL: i32 = 9;

/// Starts a process that sleeps longer than any test takes.
fn sleeping_process(scratch: &ScratchDir) -> Process {
    let mut command = Command::new("sleep");
    Process::start("sleeping_process", command.arg("1000"), scratch.path()).unwrap()
}

/// Returns two localities in different regions.
fn localities() -> [Locality; 2] {
    [("kochi", "kochi-a"), ("kozhikode", "kozhikode-a")].map(|(region, domain)| Locality {
        region: region.parse().unwrap(),
        domain: domain.parse().unwrap(),
    })
}

#[test]
fn terminate_ends_a_process_with_sigterm() {
    let scratch = ScratchDir::new().unwrap();
    let mut process = sleeping_process(&scratch);

    let status = process.terminate(LONG).unwrap();

    assert_eq!(status.signal(), Some(SIGTERM));
}

/// Waits until `/proc` shows the process as stopped. Of two pending signals, the kernel delivers
/// the one with the lower number first, which would be SIGTERM before SIGSTOP.
fn wait_until_stopped(process: &mut Process) {
    let path = format!("/proc/{}/stat", process.pid());
    let is_stopped = |text: String| {
        text.rsplit(") ")
            .next()
            .is_some_and(|rest| rest.starts_with('T'))
    };
    while !is_stopped(std::fs::read_to_string(&path).unwrap()) {
        assert_eq!(process.wait(Span::new(1)), None);
    }
}

#[test]
fn a_suspended_process_handles_sigterm_once_it_is_resumed() {
    let scratch = ScratchDir::new().unwrap();
    let mut process = sleeping_process(&scratch);
    process.signal(Signal::Stop).unwrap();
    wait_until_stopped(&mut process);
    process.signal(Signal::Terminate).unwrap();

    let suspended = process.wait(Span::new(50));
    process.signal(Signal::Continue).unwrap();
    let ended = process.wait(LONG).unwrap();

    assert_eq!(suspended, None);
    assert_eq!(ended.signal(), Some(SIGTERM));
}

#[test]
fn a_second_kill_of_a_process_is_an_error() {
    let scratch = ScratchDir::new().unwrap();
    let mut process = sleeping_process(&scratch);

    process.kill().unwrap();
    let again = process.kill();

    assert_eq!(process.wait(LONG).unwrap().signal(), Some(SIGKILL));
    assert!(again.is_err());
}

#[test]
fn standard_output_and_error_go_to_the_log() {
    let scratch = ScratchDir::new().unwrap();
    let mut command = Command::new("sh");
    command.args(["-c", "echo one; echo two >&2"]);
    let mut process = Process::start("writer", &mut command, scratch.path()).unwrap();

    let status = process.wait(LONG).unwrap();

    assert!(status.success());
    assert_eq!(process.log_tail(), "one\ntwo");
}

#[test]
fn a_server_that_exits_before_it_listens_is_an_error_with_its_log() {
    let scratch = ScratchDir::new().unwrap();
    let mut command = Command::new("sh");
    command.args(["-c", "echo the port is taken >&2; exit 1"]);

    let result = Process::start_server("platform", &mut command, scratch.path());

    assert!(result.unwrap_err().to_string().contains("taken"));
}

#[test]
fn a_dropped_scratch_directory_is_removed() {
    let scratch = ScratchDir::new().unwrap();
    let path = scratch.write("a.txt", "text").unwrap();

    drop(scratch);

    assert!(!path.exists());
}

#[test]
fn every_node_of_a_fleet_has_its_own_host_and_name() {
    let scratch = ScratchDir::new().unwrap();
    let programs = Programs::in_dir(scratch.path().to_owned());
    let overrides = json!({ "platform": ["127.0.0.1:7000"] });

    let fleet = Fleet::new(&programs, scratch.path(), &localities(), 3, &overrides).unwrap();

    let hosts: BTreeSet<_> = fleet.nodes.iter().map(|node| node.host).collect();
    let names: BTreeSet<_> = fleet.nodes.iter().map(|node| &node.name).collect();
    assert_eq!((hosts.len(), names.len()), (6, 6));
}

#[test]
fn an_unknown_setting_is_an_error() {
    let scratch = ScratchDir::new().unwrap();
    let programs = Programs::in_dir(scratch.path().to_owned());
    let overrides = json!({ "platform": ["127.0.0.1:7000"], "unknown": 1 });

    let result = Fleet::new(&programs, scratch.path(), &localities(), 1, &overrides);

    assert!(result.unwrap_err().to_string().contains("unknown"));
}
