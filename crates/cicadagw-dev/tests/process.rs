//! Processes end with those who started them; the settings of a fleet are good.

use std::collections::BTreeSet;
use std::os::unix::process::ExitStatusExt;
use std::process::Command;

use cicadagw_dev::process::{Fleet, Locality, Process, Programs, ScratchDir, Signal};
use cicadagw_unit::time::Span;
use serde_json::json;

/// Far longer than any test takes.
const LONG: Span = Span::seconds(60);

/// The number of the signal that asks to end.
const SIGTERM: i32 = 15;

/// The number of the signal that ends at once.
const SIGKILL: i32 = 9;

fn sleeper(scratch: &ScratchDir) -> Process {
    let mut command = Command::new("sleep");
    Process::start("sleeper", command.arg("1000"), scratch.path()).unwrap()
}

fn places() -> [Locality; 2] {
    [("kochi", "kochi-a"), ("kozhikode", "kozhikode-a")].map(|(region, domain)| Locality {
        region: region.parse().unwrap(),
        domain: domain.parse().unwrap(),
    })
}

#[test]
fn a_process_can_be_asked_to_end() {
    let scratch = ScratchDir::new().unwrap();
    let mut process = sleeper(&scratch);

    let status = process.terminate(LONG).unwrap();

    assert_eq!(status.signal(), Some(SIGTERM));
}

/// Waits until the system shows the process as stopped: of two signals that wait together, the one
/// with the lower number comes first.
fn until_stopped(process: &mut Process) {
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
fn a_frozen_process_ends_when_it_goes_on() {
    let scratch = ScratchDir::new().unwrap();
    let mut process = sleeper(&scratch);
    process.signal(Signal::Stop).unwrap();
    until_stopped(&mut process);
    process.signal(Signal::Terminate).unwrap();

    let frozen = process.wait(Span::new(50));
    process.signal(Signal::Continue).unwrap();
    let ended = process.wait(LONG).unwrap();

    assert_eq!(frozen, None);
    assert_eq!(ended.signal(), Some(SIGTERM));
}

#[test]
fn a_process_can_be_killed_once() {
    let scratch = ScratchDir::new().unwrap();
    let mut process = sleeper(&scratch);

    process.kill().unwrap();
    let again = process.kill();

    assert_eq!(process.wait(LONG).unwrap().signal(), Some(SIGKILL));
    assert!(again.is_err());
}

#[test]
fn what_a_process_writes_is_kept_in_its_log() {
    let scratch = ScratchDir::new().unwrap();
    let mut command = Command::new("sh");
    command.args(["-c", "echo one; echo two >&2"]);
    let mut process = Process::start("writer", &mut command, scratch.path()).unwrap();

    let status = process.wait(LONG).unwrap();

    assert!(status.success());
    assert_eq!(process.log_tail(), "one\ntwo");
}

#[test]
fn a_stand_in_that_does_not_listen_is_an_error() {
    let scratch = ScratchDir::new().unwrap();
    let mut command = Command::new("sh");
    command.args(["-c", "echo the port is taken >&2; exit 1"]);

    let outcome = Process::start_server("platform", &mut command, scratch.path());

    assert!(outcome.unwrap_err().to_string().contains("taken"));
}

#[test]
fn a_folder_goes_with_its_owner() {
    let scratch = ScratchDir::new().unwrap();
    let path = scratch.write("a.txt", "text").unwrap();

    drop(scratch);

    assert!(!path.exists());
}

#[test]
fn every_node_of_a_fleet_has_its_own_addresses() {
    let scratch = ScratchDir::new().unwrap();
    let programs = Programs::in_folder(scratch.path().to_owned());
    let more = json!({ "platform": ["127.0.0.1:7000"] });

    let fleet = Fleet::new(&programs, scratch.path(), &places(), 3, &more).unwrap();

    let hosts: BTreeSet<_> = fleet.nodes.iter().map(|node| node.host).collect();
    let names: BTreeSet<_> = fleet.nodes.iter().map(|node| &node.name).collect();
    assert_eq!((hosts.len(), names.len()), (6, 6));
}

#[test]
fn settings_that_are_not_good_are_refused() {
    let scratch = ScratchDir::new().unwrap();
    let programs = Programs::in_folder(scratch.path().to_owned());
    let more = json!({ "platform": ["127.0.0.1:7000"], "unknown": 1 });

    let outcome = Fleet::new(&programs, scratch.path(), &places(), 1, &more);

    assert!(outcome.unwrap_err().to_string().contains("unknown"));
}
