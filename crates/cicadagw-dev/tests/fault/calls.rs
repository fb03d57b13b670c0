//! Non-idempotent calls while the configuration changes and nodes and backend servers restart or
//! fail.

use cicadagw_dev::caller::{Outcome, Report};
use cicadagw_dev::mesh::{Mesh, Monitor, Traffic, WAIT_TIMEOUT};
use cicadagw_dev::process::Signal;
use cicadagw_unit::Version;
use cicadagw_unit::time::Span;

use crate::fixture::{
    CALL_RATE, apply_route, assert_all_answered, assert_consistent, describe, mesh_at_version_one,
    ready_endpoints, use_preset,
};

/// The time during which calls are sent before and after a fault.
const TRAFFIC_SPAN: Span = Span::seconds(1);

/// The time during which a draining backend server still takes calls.
const LINGER: &str = "6000ms";

#[test]
fn configuration_and_preset_changes_lose_and_duplicate_no_call() {
    /// The number of configuration and preset changes.
    const CHANGES: u64 = 30;
    let mut mesh = mesh_at_version_one(2, 2);
    add_backends(&mut mesh, "2ms");
    mesh.add_backend("orders", 1, &["--work", "2ms"]).unwrap();
    for cluster in ["orders", "catalogue"] {
        // Waits until every node knows a backend server of each cluster, before traffic starts.
        let accepted = apply_route(&mesh, cluster).unwrap();
        mesh.wait_for_version(accepted.version).unwrap();
        mesh.wait_until_answered("/booking").unwrap();
    }
    let monitor = Monitor::start(&mesh.fleet.nodes).unwrap();
    let traffic = Traffic::start(&mesh.calls(), "/booking", CALL_RATE).unwrap();

    for change in 0..CHANGES {
        let accepted = match change % 3 {
            0 => apply_route(&mesh, "orders"),
            1 => use_preset(&mesh, "peak"),
            _ => apply_route(&mesh, "catalogue"),
        };
        mesh.wait_for_version(accepted.unwrap().version).unwrap();
    }

    let report = traffic.finish().unwrap();
    assert_consistent(&mesh, &report);
    assert_all_answered(&report);
    assert_eq!(monitor.finish(), Vec::<String>::new());
    // Version 1 and the two changes before the traffic come on top of `CHANGES`.
    mesh.wait_for_version(Version::new(CHANGES + 3)).unwrap();
    mesh.stop().unwrap();
}

#[test]
fn a_graceful_restart_of_the_node_of_a_backend_server_loses_no_call() {
    let mut mesh = mesh_with_backends();
    let traffic = Traffic::start(&caller_addresses(&mesh), "/booking", CALL_RATE).unwrap();

    traffic.run_for(TRAFFIC_SPAN).unwrap();
    restart_gracefully(&mut mesh, 0);
    mesh.wait_until("with two endpoints", |dump| ready_endpoints(dump) == 2)
        .unwrap();
    traffic.run_for(TRAFFIC_SPAN).unwrap();

    let report = traffic.finish().unwrap();
    assert_consistent(&mesh, &report);
    assert_all_answered(&report);
    mesh.stop().unwrap();
}

#[test]
fn a_graceful_restart_of_the_node_of_a_caller_leaves_no_executed_call_unanswered() {
    let mut mesh = mesh_with_backends();
    let traffic = Traffic::start(&caller_addresses(&mesh)[..1], "/booking", CALL_RATE).unwrap();

    traffic.run_for(TRAFFIC_SPAN).unwrap();
    restart_gracefully(&mut mesh, 1);
    mesh.wait_until_answered("/booking").unwrap();
    traffic.run_for(TRAFFIC_SPAN).unwrap();

    let report = traffic.finish().unwrap();
    assert_consistent(&mesh, &report);
    // While the node was down its host refused connections, so some calls have no response. None
    // of these calls may have been executed.
    let journal = mesh.journal().unwrap();
    let executed = journal.executed(report.requests(Outcome::NoResponse));
    assert_eq!(executed, Vec::<&str>::new(), "{}", describe(&report));
    assert_eq!(report.count(Outcome::Unknown), 0, "{}", describe(&report));
    mesh.stop().unwrap();
}

#[test]
fn a_killed_backend_server_duplicates_no_call() {
    let mut mesh = mesh_with_backends();
    let traffic = Traffic::start(&caller_addresses(&mesh), "/booking", CALL_RATE).unwrap();

    traffic.run_for(TRAFFIC_SPAN).unwrap();
    mesh.backends[0].process.kill().unwrap();
    mesh.wait_until("with one endpoint", |dump| ready_endpoints(dump) == 1)
        .unwrap();
    let report = traffic.finish().unwrap();
    let after = send_after_fault(&mesh);

    assert_consistent(&mesh, &report);
    assert_eq!(
        report.count(Outcome::NoResponse),
        0,
        "{}",
        describe(&report)
    );
    assert_all_answered(&after);
}

#[test]
fn a_suspended_backend_server_duplicates_no_call() {
    let mut mesh = mesh_with_backends();
    let traffic = Traffic::start(&caller_addresses(&mesh), "/booking", CALL_RATE).unwrap();

    traffic.run_for(TRAFFIC_SPAN).unwrap();
    mesh.backends[0].process.signal(Signal::Stop).unwrap();
    let ejected = mesh.wait_until("with one endpoint", |dump| ready_endpoints(dump) == 1);
    let report = traffic.finish();
    mesh.backends[0].process.signal(Signal::Continue).unwrap();
    ejected.unwrap();
    let report = report.unwrap();
    terminate_backends(&mut mesh);

    assert_consistent(&mesh, &report);
    assert_eq!(
        report.count(Outcome::NoResponse),
        0,
        "{}",
        describe(&report)
    );
}

#[test]
fn a_killed_node_duplicates_no_call() {
    let mut mesh = mesh_with_backends();
    let traffic = Traffic::start(&caller_addresses(&mesh), "/booking", CALL_RATE).unwrap();

    traffic.run_for(TRAFFIC_SPAN).unwrap();
    let mut killed = mesh.fleet.nodes[0].process.take().unwrap();
    killed.kill().unwrap();
    mesh.wait_until("with one endpoint", |dump| ready_endpoints(dump) == 1)
        .unwrap();
    let report = traffic.finish().unwrap();
    let after = send_after_fault(&mesh);
    terminate_backends(&mut mesh);

    assert_consistent(&mesh, &report);
    assert_eq!(
        report.count(Outcome::NoResponse),
        0,
        "{}",
        describe(&report)
    );
    assert_all_answered(&after);
}

#[test]
fn a_draining_backend_server_gets_no_new_calls_and_completes_those_in_flight() {
    let mut mesh = mesh_at_version_one(2, 2);
    for index in [0, 2] {
        let arguments = ["--work", "20ms", "--linger", LINGER];
        mesh.add_backend("catalogue", index, &arguments).unwrap();
    }
    mesh.wait_until_answered("/booking").unwrap();
    mesh.wait_until("with two endpoints", |dump| ready_endpoints(dump) == 2)
        .unwrap();
    let traffic = Traffic::start(&mesh.calls(), "/booking", CALL_RATE).unwrap();

    traffic.run_for(TRAFFIC_SPAN).unwrap();
    let draining = &mut mesh.backends[0];
    draining.process.signal(Signal::Terminate).unwrap();
    mesh.wait_until("without one of the endpoints", |dump| {
        ready_endpoints(dump) == 1
    })
    .unwrap();
    traffic.run_for(TRAFFIC_SPAN).unwrap();
    let before = executions(&mesh);
    traffic.run_for(TRAFFIC_SPAN).unwrap();
    let after = executions(&mesh);
    let status = mesh.backends[0].process.wait(WAIT_TIMEOUT);
    let report = traffic.finish().unwrap();

    assert_eq!(before, after, "the draining backend server got new calls");
    assert!(before > 0, "the backend server never got a call");
    assert!(status.unwrap().success());
    assert_consistent(&mesh, &report);
    assert_all_answered(&report);
    mesh.stop().unwrap();
}

/// Starts a mesh of two failure domains with two nodes each, and a backend server on the host of
/// the first node of each domain.
fn mesh_with_backends() -> Mesh {
    let mut mesh = mesh_at_version_one(2, 2);
    add_backends(&mut mesh, "10ms");
    mesh.wait_until_answered("/booking").unwrap();
    mesh.wait_until("with two endpoints", |dump| ready_endpoints(dump) == 2)
        .unwrap();
    mesh
}

/// Adds a backend server to the host of the first node of each failure domain; `work` is the
/// execution time of a call.
fn add_backends(mesh: &mut Mesh, work: &str) {
    for index in [0, 2] {
        mesh.add_backend("catalogue", index, &["--work", work])
            .unwrap();
    }
}

/// Returns the call addresses of those nodes that have no backend server on their host.
fn caller_addresses(mesh: &Mesh) -> [std::net::SocketAddr; 2] {
    [1, 3].map(|index: usize| mesh.fleet.nodes[index].calls)
}

/// Shuts down node `index` with SIGTERM, checks that it exits successfully, and starts it again.
fn restart_gracefully(mesh: &mut Mesh, index: usize) {
    let mut process = mesh.fleet.nodes[index].process.take().unwrap();
    let status = process.terminate(WAIT_TIMEOUT).unwrap();
    assert!(status.success(), "{status}\n{}", process.log_tail());
    mesh.start_nodes().unwrap();
}

/// Sends calls again; the nodes must have removed the failed endpoint before.
fn send_after_fault(mesh: &Mesh) -> Report {
    let traffic = Traffic::start(&caller_addresses(mesh), "/booking", CALL_RATE).unwrap();
    traffic.run_for(TRAFFIC_SPAN).unwrap();
    traffic.finish().unwrap()
}

/// Shuts down all backend servers, which complete their calls in flight first.
fn terminate_backends(mesh: &mut Mesh) {
    for backend in &mut mesh.backends {
        let status = backend.process.terminate(WAIT_TIMEOUT).unwrap();
        assert!(status.success(), "{status}");
    }
}

/// Returns the number of requests that the first backend server executed.
fn executions(mesh: &Mesh) -> usize {
    let journal = std::fs::read_to_string(&mesh.backends[0].journal);
    journal.unwrap().lines().count()
}
