//! Killed or suspended root nodes and failure domains.

use cicadagw_dev::mesh::Monitor;
use cicadagw_dev::process::Signal;

use crate::fixture::{apply_route, mesh_at_version_one, use_preset};

#[test]
fn a_change_after_the_fleet_root_was_killed_reaches_every_node() {
    let mut mesh = mesh_at_version_one(2, 3);
    let root = mesh.wait_for_root("fleet").unwrap();
    let others = mesh.fleet.nodes.iter().enumerate();
    let others = others.filter(|(index, _)| *index != root);
    let monitor = Monitor::start(others.map(|(_, node)| node)).unwrap();

    let mut killed = mesh.fleet.nodes[root].process.take().unwrap();
    killed.kill().unwrap();
    let accepted = apply_route(&mesh, "orders").unwrap();

    mesh.wait_for_version(accepted.version).unwrap();
    mesh.start_nodes().unwrap();
    mesh.wait_for_version(accepted.version).unwrap();
    assert_eq!(monitor.finish(), Vec::<String>::new());
    mesh.stop().unwrap();
}

#[test]
fn a_root_suspended_past_its_lease_catches_up_with_the_newest_version() {
    let mut mesh = mesh_at_version_one(2, 3);
    let root = mesh.wait_for_root("fleet").unwrap();
    let monitor = Monitor::start(&mesh.fleet.nodes).unwrap();

    signal(&mut mesh, root, Signal::Stop);
    let accepted = apply_route(&mesh, "orders").unwrap();
    let others = mesh.fleet.nodes.iter().enumerate();
    let others = others.filter(|(index, _)| *index != root);
    let at_version = |dump: &serde_json::Value| dump["held"]["version"] == accepted.version.get();
    let held = mesh.wait_until_at(
        others.map(|(_, node)| node),
        "at the new version",
        at_version,
    );
    signal(&mut mesh, root, Signal::Continue);
    held.unwrap();

    mesh.wait_for_version(accepted.version).unwrap();
    let next = use_preset(&mesh, "peak").unwrap();
    mesh.wait_for_version(next.version).unwrap();
    assert_eq!(monitor.finish(), Vec::<String>::new());
    mesh.stop().unwrap();
}

#[test]
fn a_failure_domain_restarted_at_once_catches_up_with_the_newest_version() {
    /// The maximum number of platform calls while three nodes restart.
    const MAX_PLATFORM_CALLS: u64 = 200;
    let mut mesh = mesh_at_version_one(2, 3);
    mesh.wait_for_root("fleet").unwrap();
    let monitor = Monitor::start(&mesh.fleet.nodes[..3]).unwrap();

    for node in &mut mesh.fleet.nodes[3..] {
        node.process.take().unwrap().kill().unwrap();
    }
    let accepted = apply_route(&mesh, "orders").unwrap();
    let before = mesh.stats().unwrap().calls.total();
    mesh.start_nodes().unwrap();
    mesh.wait_for_version(accepted.version).unwrap();
    let calls = mesh.stats().unwrap().calls.total() - before;

    println!("platform calls while three nodes restarted: {calls}");
    assert!(
        calls <= MAX_PLATFORM_CALLS,
        "expected at most {MAX_PLATFORM_CALLS} platform calls, found {calls}"
    );
    assert_eq!(monitor.finish(), Vec::<String>::new());
    mesh.stop().unwrap();
}

/// Sends `signal` to the process of node `index`.
fn signal(mesh: &mut cicadagw_dev::mesh::Mesh, index: usize, signal: Signal) {
    let process = mesh.fleet.nodes[index].process.as_mut().unwrap();
    process.signal(signal).unwrap();
}
