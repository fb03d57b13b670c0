//! Changes by operators: a lost response from the platform, and two concurrent changes.

use std::process::Output;
use std::sync::Barrier;
use std::thread;

use cicadagw_dev::mesh::{Mesh, Monitor};
use cicadagw_dev::platform::Change;
use cicadagw_dev::process::Operator;
use cicadagw_unit::Version;
use serde_json::Value;

use crate::fixture::{accepted, mesh_at_version_one, route_configuration};

/// The exit code of `cicadactl` for a change that lost a race with another one.
const CONFLICT: i32 = 3;

#[test]
fn a_change_whose_response_is_lost_is_reported_as_accepted_and_recorded_once() {
    let mesh = mesh_at_version_one(1, 3);
    let monitor = Monitor::start(&mesh.fleet.nodes).unwrap();
    let file = mesh
        .file("lost.jsonc", &route_configuration("orders"))
        .unwrap();
    let command = ["--json", "apply", &file, "--change", "lost"];
    let fault = Change {
        drop_answer_of_put_to: Some("head".into()),
        ..Change::default()
    };

    mesh.control(&fault).unwrap();
    let first = mesh.operator("asha").run(&command);
    let again = mesh.operator("asha").run(&command);

    assert!(
        mesh.stats().unwrap().failed > 0,
        "the platform dropped no response"
    );
    let first = accepted(&first.unwrap()).unwrap();
    let again = accepted(&again.unwrap()).unwrap();
    assert_eq!((first.version.get(), again.version.get()), (2, 2));
    assert_eq!(again.outcome, "known");
    mesh.wait_for_version(first.version).unwrap();
    assert_eq!(changes(&mesh).iter().filter(|id| *id == "lost").count(), 1);
    assert_eq!(monitor.finish(), Vec::<String>::new());
    mesh.stop().unwrap();
}

#[test]
fn one_of_two_concurrent_changes_wins_and_the_other_reports_a_conflict_with_it() {
    let mesh = mesh_at_version_one(1, 3);
    let file = mesh
        .file("race.jsonc", &route_configuration("orders"))
        .unwrap();
    let start = Barrier::new(2);
    let race = |operator: Operator, name| {
        start.wait();
        operator.output(&["apply", &file, "--change", name, "--base", "1"])
    };
    let [first, second] = ["asha", "beena"].map(|name| mesh.operator(name));

    let outputs = thread::scope(|scope| {
        let asha = scope.spawn(|| race(first, "asha"));
        let beena = scope.spawn(|| race(second, "beena"));
        [asha.join().unwrap(), beena.join().unwrap()].map(Result::unwrap)
    });

    let [asha, beena] = &outputs;
    let (winner, loser) = match (asha.status.code(), beena.status.code()) {
        (Some(0), Some(CONFLICT)) => ("asha", beena),
        (Some(CONFLICT), Some(0)) => ("beena", asha),
        codes => panic!("{codes:?}: {outputs:?}"),
    };
    let winning_change = format!("version 2 by {winner} (change {winner})");
    assert!(stderr(loser).contains(&winning_change), "{}", stderr(loser));
    assert_eq!(changes(&mesh)[0], winner);
    mesh.wait_for_version(Version::new(2)).unwrap();
    mesh.stop().unwrap();
}

/// Returns the ids of the accepted changes, newest first.
fn changes(mesh: &Mesh) -> Vec<String> {
    let history = mesh.operator("asha").run(&["--json", "history"]).unwrap();
    let entries: Vec<Value> = serde_json::from_str(&history).unwrap();
    let ids = entries.iter().map(|entry| entry["change"].as_str());
    ids.map(|id| id.unwrap().to_owned()).collect()
}

/// Returns the standard error of a command.
fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}
