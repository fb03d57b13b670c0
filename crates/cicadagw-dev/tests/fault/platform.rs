//! Calls, endpoints and restarts during an outage of the platform.

use cicadagw_dev::mesh::{Mesh, Monitor, Traffic};
use cicadagw_dev::platform::Change;
use cicadagw_unit::time::Span;
use serde_json::Value;

use crate::fixture::{
    CALL_RATE, apply_route, assert_all_answered, assert_consistent, mesh_at_version_one,
    ready_endpoints,
};

/// The time of the outage before the mesh changes; longer than leases and announcements last.
const OUTAGE: Span = Span::seconds(3);

#[test]
fn calls_are_answered_and_new_endpoints_propagate_during_a_platform_outage() {
    let mut mesh = mesh_at_version_one(2, 2);
    mesh.add_backend("catalogue", 0, &[]).unwrap();
    mesh.add_backend("orders", 0, &[]).unwrap();
    mesh.wait_until_answered("/booking").unwrap();
    let monitor = Monitor::start(&mesh.fleet.nodes).unwrap();
    let traffic = Traffic::start(&mesh.calls(), "/booking", CALL_RATE).unwrap();

    set_down(&mesh, true);
    traffic.run_for(OUTAGE).unwrap();
    mesh.add_backend("catalogue", 3, &[]).unwrap();
    mesh.wait_until("with three endpoints", |dump| ready_endpoints(dump) == 3)
        .unwrap();
    let during_outage = apply_route(&mesh, "orders");
    set_down(&mesh, false);
    let accepted = apply_route(&mesh, "orders").unwrap();

    mesh.wait_for_version(accepted.version).unwrap();
    let report = traffic.finish().unwrap();
    assert_consistent(&mesh, &report);
    assert_all_answered(&report);
    assert!(
        during_outage.is_err(),
        "expected an error, since the platform was down"
    );
    assert_eq!(accepted.version.get(), 2);
    assert_eq!(monitor.finish(), Vec::<String>::new());
    mesh.stop().unwrap();
}

#[test]
fn a_node_restarted_during_a_platform_outage_gets_the_configuration_from_its_peers() {
    let mut mesh = mesh_at_version_one(1, 3);
    let root = mesh.wait_for_root("domain").unwrap();
    let restarted = (root + 1) % 3;

    set_down(&mesh, true);
    let node = &mut mesh.fleet.nodes[restarted];
    node.process.take().unwrap().kill().unwrap();
    mesh.start_nodes().unwrap();

    let at_version_one = |dump: &Value| dump["held"]["version"] == 1;
    mesh.wait_until("at version 1", at_version_one).unwrap();
    set_down(&mesh, false);
    let accepted = apply_route(&mesh, "orders").unwrap();
    mesh.wait_for_version(accepted.version).unwrap();
    mesh.stop().unwrap();
}

/// Starts or ends an outage of the platform.
fn set_down(mesh: &Mesh, down: bool) {
    let change = Change {
        down: Some(down),
        ..Change::default()
    };
    mesh.control(&change).unwrap();
}
