//! Outages of the platform.

use cicadagw_dev::mesh::{Mesh, Traffic, Watch};
use cicadagw_dev::platform::Change;
use cicadagw_unit::time::Span;
use serde_json::Value;

use crate::fixture::{RATE, apply, check_answered, check_runs, endpoints, mesh_at_one};

/// How long the platform is down: longer than leases and announcements last.
const LONGER_THAN_LEASES: Span = Span::seconds(3);

#[test]
fn calls_go_on_and_endpoints_spread_while_the_platform_is_down() {
    let mut mesh = mesh_at_one(2, 2);
    mesh.add_backend("catalogue", 0, &[]).unwrap();
    mesh.add_backend("orders", 0, &[]).unwrap();
    mesh.until_answered("/booking").unwrap();
    let watch = Watch::start(&mesh.fleet.nodes).unwrap();
    let traffic = Traffic::start(&mesh.calls(), "/booking", RATE).unwrap();

    down(&mesh, true);
    traffic.run_for(LONGER_THAN_LEASES).unwrap();
    mesh.add_backend("catalogue", 3, &[]).unwrap();
    mesh.until("with three endpoints", |dump| endpoints(dump) == 3)
        .unwrap();
    let refused = apply(&mesh, "orders");
    down(&mesh, false);
    let accepted = apply(&mesh, "orders").unwrap();

    mesh.until_held(accepted.version).unwrap();
    let report = traffic.finish().unwrap();
    check_runs(&mesh, &report);
    check_answered(&report);
    assert!(refused.is_err(), "the platform was down");
    assert_eq!(accepted.version.get(), 2);
    assert_eq!(watch.finish(), Vec::<String>::new());
    mesh.stop().unwrap();
}

#[test]
fn a_node_restarted_while_the_platform_is_down_is_served_by_its_peers() {
    let mut mesh = mesh_at_one(1, 3);
    let root = mesh.until_root("domain").unwrap();
    let restarted = (root + 1) % 3;

    down(&mesh, true);
    let node = &mut mesh.fleet.nodes[restarted];
    node.process.take().unwrap().kill().unwrap();
    mesh.start_nodes().unwrap();

    let at_one = |dump: &Value| dump["held"]["version"] == 1;
    mesh.until("at version 1", at_one).unwrap();
    down(&mesh, false);
    let accepted = apply(&mesh, "orders").unwrap();
    mesh.until_held(accepted.version).unwrap();
    mesh.stop().unwrap();
}

fn down(mesh: &Mesh, down: bool) {
    let change = Change {
        down: Some(down),
        ..Change::default()
    };
    mesh.control(&change).unwrap();
}
