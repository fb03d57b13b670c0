//! Calls that are not idempotent, while nodes and backend servers come and go.

use cicadagw_dev::caller::{Outcome, Report};
use cicadagw_dev::mesh::{Mesh, PATIENCE, Traffic, Watch};
use cicadagw_dev::process::Signal;
use cicadagw_unit::Version;
use cicadagw_unit::time::Span;

use crate::fixture::{
    RATE, apply, check_answered, check_runs, endpoints, mesh_at_one, switch, told,
};

/// For how long calls go on around what happens to them.
const WHILE: Span = Span::seconds(1);

/// How long a backend server that leaves takes late calls.
const LINGER: &str = "6000ms";

#[test]
fn changes_and_presets_lose_and_double_no_call() {
    /// How many changes are made.
    const CHANGES: u64 = 30;
    let mut mesh = mesh_at_one(2, 2);
    add_backends(&mut mesh, "2ms");
    mesh.add_backend("orders", 1, &["--work", "2ms"]).unwrap();
    for cluster in ["orders", "catalogue"] {
        // Every node knows a backend server of each before the calls begin.
        let accepted = apply(&mesh, cluster).unwrap();
        mesh.until_held(accepted.version).unwrap();
        mesh.until_answered("/booking").unwrap();
    }
    let watch = Watch::start(&mesh.fleet.nodes).unwrap();
    let traffic = Traffic::start(&mesh.calls(), "/booking", RATE).unwrap();

    for change in 0..CHANGES {
        let accepted = match change % 3 {
            0 => apply(&mesh, "orders"),
            1 => switch(&mesh, "peak"),
            _ => apply(&mesh, "catalogue"),
        };
        mesh.until_held(accepted.unwrap().version).unwrap();
    }

    let report = traffic.finish().unwrap();
    check_runs(&mesh, &report);
    check_answered(&report);
    assert_eq!(watch.finish(), Vec::<String>::new());
    mesh.until_held(Version::new(CHANGES + 3)).unwrap();
    mesh.stop().unwrap();
}

#[test]
fn a_graceful_restart_of_a_backend_servers_node_loses_no_call() {
    let mut mesh = mesh_with_backends();
    let traffic = Traffic::start(&callers(&mesh), "/booking", RATE).unwrap();

    traffic.run_for(WHILE).unwrap();
    restart_gracefully(&mut mesh, 0);
    mesh.until("with two endpoints", |dump| endpoints(dump) == 2)
        .unwrap();
    traffic.run_for(WHILE).unwrap();

    let report = traffic.finish().unwrap();
    check_runs(&mesh, &report);
    check_answered(&report);
    mesh.stop().unwrap();
}

#[test]
fn a_graceful_restart_of_a_callers_node_cuts_no_call() {
    let mut mesh = mesh_with_backends();
    let traffic = Traffic::start(&callers(&mesh)[..1], "/booking", RATE).unwrap();

    traffic.run_for(WHILE).unwrap();
    restart_gracefully(&mut mesh, 1);
    mesh.until_answered("/booking").unwrap();
    traffic.run_for(WHILE).unwrap();

    let report = traffic.finish().unwrap();
    check_runs(&mesh, &report);
    // Those that came while the node was away were refused by the host, and none of them ran.
    let journal = mesh.journal().unwrap();
    let lost = journal.executed(report.requests(Outcome::NoResponse));
    assert_eq!(lost, Vec::<&str>::new(), "{}", told(&report));
    assert_eq!(report.count(Outcome::Unknown), 0, "{}", told(&report));
    mesh.stop().unwrap();
}

#[test]
fn a_killed_backend_server_doubles_no_call() {
    let mut mesh = mesh_with_backends();
    let traffic = Traffic::start(&callers(&mesh), "/booking", RATE).unwrap();

    traffic.run_for(WHILE).unwrap();
    mesh.backends[0].process.kill().unwrap();
    mesh.until("with one endpoint", |dump| endpoints(dump) == 1)
        .unwrap();
    let report = traffic.finish().unwrap();
    let after = answered_after(&mesh);

    check_runs(&mesh, &report);
    assert_eq!(report.count(Outcome::NoResponse), 0, "{}", told(&report));
    check_answered(&after);
}

#[test]
fn a_frozen_backend_server_doubles_no_call() {
    let mut mesh = mesh_with_backends();
    let traffic = Traffic::start(&callers(&mesh), "/booking", RATE).unwrap();

    traffic.run_for(WHILE).unwrap();
    mesh.backends[0].process.signal(Signal::Stop).unwrap();
    let left = mesh.until("with one endpoint", |dump| endpoints(dump) == 1);
    let report = traffic.finish();
    mesh.backends[0].process.signal(Signal::Continue).unwrap();
    left.unwrap();
    let report = report.unwrap();
    end_backends(&mut mesh);

    check_runs(&mesh, &report);
    assert_eq!(report.count(Outcome::NoResponse), 0, "{}", told(&report));
}

#[test]
fn a_killed_node_doubles_no_call() {
    let mut mesh = mesh_with_backends();
    let traffic = Traffic::start(&callers(&mesh), "/booking", RATE).unwrap();

    traffic.run_for(WHILE).unwrap();
    let mut killed = mesh.fleet.nodes[0].process.take().unwrap();
    killed.kill().unwrap();
    mesh.until("with one endpoint", |dump| endpoints(dump) == 1)
        .unwrap();
    let report = traffic.finish().unwrap();
    let after = answered_after(&mesh);
    end_backends(&mut mesh);

    check_runs(&mesh, &report);
    assert_eq!(report.count(Outcome::NoResponse), 0, "{}", told(&report));
    check_answered(&after);
}

#[test]
fn a_backend_server_that_leaves_gets_no_new_work_and_ends_what_it_has() {
    let mut mesh = mesh_at_one(2, 2);
    for index in [0, 2] {
        let arguments = ["--work", "20ms", "--linger", LINGER];
        mesh.add_backend("catalogue", index, &arguments).unwrap();
    }
    mesh.until_answered("/booking").unwrap();
    mesh.until("with two endpoints", |dump| endpoints(dump) == 2)
        .unwrap();
    let traffic = Traffic::start(&mesh.calls(), "/booking", RATE).unwrap();

    traffic.run_for(WHILE).unwrap();
    let leaving = &mut mesh.backends[0];
    leaving.process.signal(Signal::Terminate).unwrap();
    mesh.until("without one of the endpoints", |dump| endpoints(dump) == 1)
        .unwrap();
    traffic.run_for(WHILE).unwrap();
    let before = executions(&mesh);
    traffic.run_for(WHILE).unwrap();
    let after = executions(&mesh);
    let ended = mesh.backends[0].process.wait(PATIENCE);
    let report = traffic.finish().unwrap();

    assert_eq!(before, after, "it got new work");
    assert!(before > 0, "it never had work");
    assert!(ended.unwrap().success());
    check_runs(&mesh, &report);
    check_answered(&report);
    mesh.stop().unwrap();
}

/// Starts a mesh of two failure domains with two nodes each, with a backend server at the first
/// node of each.
fn mesh_with_backends() -> Mesh {
    let mut mesh = mesh_at_one(2, 2);
    add_backends(&mut mesh, "10ms");
    mesh.until_answered("/booking").unwrap();
    mesh.until("with two endpoints", |dump| endpoints(dump) == 2)
        .unwrap();
    mesh
}

fn add_backends(mesh: &mut Mesh, work: &str) {
    for index in [0, 2] {
        mesh.add_backend("catalogue", index, &["--work", work])
            .unwrap();
    }
}

/// Returns where the nodes without a backend server take calls.
fn callers(mesh: &Mesh) -> [std::net::SocketAddr; 2] {
    [1, 3].map(|index: usize| mesh.fleet.nodes[index].calls)
}

fn restart_gracefully(mesh: &mut Mesh, index: usize) {
    let mut process = mesh.fleet.nodes[index].process.take().unwrap();
    let status = process.terminate(PATIENCE).unwrap();
    assert!(status.success(), "{status}\n{}", process.log_tail());
    mesh.start_nodes().unwrap();
}

/// Sends calls once more when the mesh has settled.
fn answered_after(mesh: &Mesh) -> Report {
    let traffic = Traffic::start(&callers(mesh), "/booking", RATE).unwrap();
    traffic.run_for(WHILE).unwrap();
    traffic.finish().unwrap()
}

/// Has all backend servers end what they run.
fn end_backends(mesh: &mut Mesh) {
    for backend in &mut mesh.backends {
        let status = backend.process.terminate(PATIENCE).unwrap();
        assert!(status.success(), "{status}");
    }
}

/// Returns how many requests the first backend server ran.
fn executions(mesh: &Mesh) -> usize {
    let journal = std::fs::read_to_string(&mesh.backends[0].journal);
    journal.unwrap().lines().count()
}
