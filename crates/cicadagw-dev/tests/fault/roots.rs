//! Roots that are killed or frozen.

use cicadagw_dev::mesh::Watch;
use cicadagw_dev::process::Signal;

use crate::fixture::{apply, mesh_at_one, switch};

#[test]
fn a_change_after_a_kill_of_the_fleet_root_holds_everywhere() {
    let mut mesh = mesh_at_one(2, 3);
    let root = mesh.until_root("fleet").unwrap();
    let others = mesh.fleet.nodes.iter().enumerate();
    let others = others.filter(|(index, _)| *index != root);
    let watch = Watch::start(others.map(|(_, node)| node)).unwrap();

    let mut killed = mesh.fleet.nodes[root].process.take().unwrap();
    killed.kill().unwrap();
    let accepted = apply(&mesh, "orders").unwrap();

    mesh.until_held(accepted.version).unwrap();
    mesh.start_nodes().unwrap();
    mesh.until_held(accepted.version).unwrap();
    assert_eq!(watch.finish(), Vec::<String>::new());
    mesh.stop().unwrap();
}

#[test]
fn a_root_frozen_past_its_lease_ends_at_the_newest_version() {
    let mut mesh = mesh_at_one(2, 3);
    let root = mesh.until_root("fleet").unwrap();
    let watch = Watch::start(&mesh.fleet.nodes).unwrap();

    signal(&mut mesh, root, Signal::Stop);
    let accepted = apply(&mesh, "orders").unwrap();
    let others = mesh.fleet.nodes.iter().enumerate();
    let others = others.filter(|(index, _)| *index != root);
    let at = |dump: &serde_json::Value| dump["held"]["version"] == accepted.version.get();
    let held = mesh.until_at(others.map(|(_, node)| node), "at the version", at);
    signal(&mut mesh, root, Signal::Continue);
    held.unwrap();

    mesh.until_held(accepted.version).unwrap();
    let next = switch(&mesh, "peak").unwrap();
    mesh.until_held(next.version).unwrap();
    assert_eq!(watch.finish(), Vec::<String>::new());
    mesh.stop().unwrap();
}

#[test]
fn a_domain_killed_and_started_at_once_holds_the_newest_version_again() {
    /// The most calls that the platform may get from three nodes that come back.
    const CALLS_MAX: u64 = 200;
    let mut mesh = mesh_at_one(2, 3);
    mesh.until_root("fleet").unwrap();
    let watch = Watch::start(&mesh.fleet.nodes[..3]).unwrap();

    for node in &mut mesh.fleet.nodes[3..] {
        node.process.take().unwrap().kill().unwrap();
    }
    let accepted = apply(&mesh, "orders").unwrap();
    let before = mesh.stats().unwrap().calls.total();
    mesh.start_nodes().unwrap();
    mesh.until_held(accepted.version).unwrap();
    let calls = mesh.stats().unwrap().calls.total() - before;

    println!("platform calls while three nodes came back: {calls}");
    assert!(calls <= CALLS_MAX, "{calls} platform calls");
    assert_eq!(watch.finish(), Vec::<String>::new());
    mesh.stop().unwrap();
}

fn signal(mesh: &mut cicadagw_dev::mesh::Mesh, index: usize, signal: Signal) {
    let process = mesh.fleet.nodes[index].process.as_mut().unwrap();
    process.signal(signal).unwrap();
}
