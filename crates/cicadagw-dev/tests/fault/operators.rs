//! Operators whose answers are lost, and operators at one moment.

use std::process::Output;
use std::sync::Barrier;
use std::thread;

use cicadagw_dev::mesh::{Mesh, Watch};
use cicadagw_dev::platform::Change;
use cicadagw_dev::process::Operator;
use cicadagw_unit::Version;
use serde_json::Value;

use crate::fixture::{accepted, configuration, mesh_at_one};

/// The exit code for a change that another one came before.
const CONFLICT: i32 = 3;

#[test]
fn a_change_whose_answer_is_lost_is_told_truly_and_there_once() {
    let mesh = mesh_at_one(1, 3);
    let watch = Watch::start(&mesh.fleet.nodes).unwrap();
    let file = mesh.file("lost.jsonc", &configuration("orders")).unwrap();
    let command = ["--json", "apply", &file, "--change", "lost"];
    let fault = Change {
        drop_answer_of_put_to: Some("head".into()),
        ..Change::default()
    };

    mesh.control(&fault).unwrap();
    let first = mesh.operator("asha").run(&command);
    let again = mesh.operator("asha").run(&command);

    assert!(mesh.stats().unwrap().failed > 0, "no answer was dropped");
    let first = accepted(&first.unwrap()).unwrap();
    let again = accepted(&again.unwrap()).unwrap();
    assert_eq!((first.version.get(), again.version.get()), (2, 2));
    assert_eq!(again.outcome, "known");
    mesh.until_held(first.version).unwrap();
    assert_eq!(changes(&mesh).iter().filter(|id| *id == "lost").count(), 1);
    assert_eq!(watch.finish(), Vec::<String>::new());
    mesh.stop().unwrap();
}

#[test]
fn of_two_operators_at_one_moment_one_wins_and_the_other_is_told() {
    let mesh = mesh_at_one(1, 3);
    let file = mesh.file("race.jsonc", &configuration("orders")).unwrap();
    let start = Barrier::new(2);
    let race = |operator: Operator, name| {
        start.wait();
        operator.output(&["apply", &file, "--change", name, "--base", "1"])
    };
    let [first, second] = ["asha", "beena"].map(|name| mesh.operator(name));

    let ended = thread::scope(|scope| {
        let asha = scope.spawn(|| race(first, "asha"));
        let beena = scope.spawn(|| race(second, "beena"));
        [asha.join().unwrap(), beena.join().unwrap()].map(Result::unwrap)
    });

    let [asha, beena] = &ended;
    let (winner, loser) = match (asha.status.code(), beena.status.code()) {
        (Some(0), Some(CONFLICT)) => ("asha", beena),
        (Some(CONFLICT), Some(0)) => ("beena", asha),
        codes => panic!("{codes:?}: {ended:?}"),
    };
    let named = format!("version 2 by {winner} (change {winner})");
    assert!(written(loser).contains(&named), "{}", written(loser));
    assert_eq!(changes(&mesh)[0], winner);
    mesh.until_held(Version::new(2)).unwrap();
    mesh.stop().unwrap();
}

/// Returns the ids of the accepted changes, newest first.
fn changes(mesh: &Mesh) -> Vec<String> {
    let history = mesh.operator("asha").run(&["--json", "history"]).unwrap();
    let entries: Vec<Value> = serde_json::from_str(&history).unwrap();
    let ids = entries.iter().map(|entry| entry["change"].as_str());
    ids.map(|id| id.unwrap().to_owned()).collect()
}

fn written(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}
