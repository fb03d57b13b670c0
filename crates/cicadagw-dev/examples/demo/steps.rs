//! The steps of the demo.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use cicadagw_dev::caller::{Outcome, Report};
use cicadagw_dev::http::{block_on, wait_until_ok};
use cicadagw_dev::mesh::Traffic;
use cicadagw_dev::process::{Metrics, ScratchDir};
use cicadagw_unit::rate::PerSecond;
use cicadagw_unit::time::Span;
use cicadagw_unit::{Version, id};
use tokio::time::{Duration, interval};

use crate::mesh::{Mesh, Sent};

/// The configuration that is applied first.
const BEFORE: &str = include_str!("before.jsonc");

/// The configuration that moves a route.
const AFTER: &str = include_str!("after.jsonc");

/// How long a version may take until it is in force on every node.
const PATIENCE: Span = Span::seconds(20);

/// How often a node is asked for its version.
const POLL: Duration = Duration::from_millis(5);

/// How many calls are sent in a second.
const RATE: PerSecond = PerSecond::new(200);

/// For how long calls go on before and after the route moves.
const TRAFFIC: Span = Span::seconds(1);

/// What `cicadactl` prints about an accepted change.
#[derive(serde::Deserialize)]
struct Accepted {
    version: Version,
    preset: id::Preset,
}

/// Goes through all steps.
pub(crate) fn run(scratch: &ScratchDir) -> io::Result<()> {
    let before = scratch.write("before.jsonc", BEFORE)?;
    let after = scratch.write("after.jsonc", AFTER)?;
    let mesh = Mesh::start(scratch)?;
    let count = mesh.fleet.nodes.len();
    anstream::println!("started: platform, {count} nodes in 2 regions, 3 backend servers");

    let file = before.to_string_lossy();
    let first = ["apply", &file, "--preset", "ordinary-day"].map(str::to_owned);
    change(&mesh, "applied a configuration", &first)?;
    let preset = ["preset", "use", "peak"].map(str::to_owned);
    change(&mesh, "switched the preset", &preset)?;

    for (path, service) in [
        ("/booking", "catalogue"),
        ("/media", "media"),
        ("/orders", "orders"),
    ] {
        reach(&mesh, path, service)?;
    }

    let calls: Vec<SocketAddr> = mesh.fleet.nodes.iter().map(|node| node.calls).collect();
    let traffic = Traffic::start(&calls, "/booking", RATE)?;
    traffic.run_for(TRAFFIC)?;
    let executions = mesh.backend("orders")?.stats()?.executions;
    let second = ["apply", &after.to_string_lossy()].map(str::to_owned);
    change(&mesh, "moved a route under traffic", &second)?;
    traffic.run_for(TRAFFIC)?;
    let report = traffic.finish()?;
    check(&mesh, &report, executions)?;

    mesh.stop()?;
    anstream::println!("stopped: every process ended as asked");
    Ok(())
}

/// Makes a change by `cicadactl`, and waits until it is in force on every node.
fn change(mesh: &Mesh, what: &str, arguments: &[String]) -> io::Result<()> {
    let sent = mesh.sent()?;
    let calls = mesh.platform_calls()?;
    let mut command = vec!["--json"];
    command.extend(arguments.iter().map(String::as_str));
    let accepted: Accepted = serde_json::from_str(&mesh.operator.run(&command)?)?;
    let begin = Instant::now();
    let version = accepted.version;
    block_on(in_force(mesh, version))?;
    let converged = begin.elapsed().as_millis();
    let timeout = PATIENCE.to_string();
    let text = version.to_string();
    mesh.operator
        .run(&["status", "--wait", &text, "--timeout", &timeout])?;
    let told = begin.elapsed().as_millis();
    let now = mesh.sent()?;
    let control = control(sent, now);
    let calls = mesh.platform_calls()? - calls;
    anstream::println!(
        "{what}: version {version}, preset {}; in force on every node after {converged} ms, \
         told by status after {told} ms; {control}; {calls} platform calls",
        accepted.preset,
    );
    Ok(())
}

/// Tells how many bytes the nodes sent to each other between two readings.
fn control(before: Sent, after: Sent) -> String {
    if after.all.get() == 0 {
        return "control bytes are not counted".to_owned();
    }
    let all = after.all.get().saturating_sub(before.all.get());
    let across = after.across.get().saturating_sub(before.across.get());
    format!("control {all} B, {across} B of it across regions")
}

/// Waits until every node holds at least `version`.
async fn in_force(mesh: &Mesh, version: Version) -> io::Result<()> {
    let end = Instant::now() + Duration::from(PATIENCE);
    let mut ticks = interval(POLL);
    for node in &mesh.fleet.nodes {
        loop {
            let meters = Metrics::read(node.admin).await.map_err(io::Error::other)?;
            if meters.held_version >= version {
                break;
            }
            if Instant::now() >= end {
                let name = &node.name;
                let reason = format!("{name} holds {} and not {version}", meters.held_version);
                return Err(io::Error::other(reason));
            }
            ticks.tick().await;
        }
    }
    Ok(())
}

/// Makes a call at every node until it is answered by the backend server of `service`.
fn reach(mesh: &Mesh, path: &str, service: &str) -> io::Result<()> {
    let backend = mesh.backend(service)?;
    let begin = Instant::now();
    for node in &mesh.fleet.nodes {
        let outcome = block_on(wait_until_ok(node.calls, path, PATIENCE));
        outcome.map_err(|error| io::Error::other(format!("{}: {error}", node.name)))?;
    }
    let elapsed = begin.elapsed().as_millis();
    let runs = backend.stats()?.executions;
    let count = mesh.fleet.nodes.len() as u64;
    if runs != count {
        let reason = format!("{service} ran {runs} times for {count} calls");
        return Err(io::Error::other(reason));
    }
    let calls = format!("{count} calls, one at every node, answered by {service}");
    anstream::println!("called {path}: {calls} in {elapsed} ms");
    Ok(())
}

/// Checks that every call was answered, that none ran twice, and that the route moved.
fn check(mesh: &Mesh, report: &Report, executions: u64) -> io::Result<()> {
    let total = report.total();
    let answered = report.count(Outcome::Answered);
    let mut doubled = 0;
    for service in ["catalogue", "orders"] {
        doubled += mesh.backend(service)?.stats()?.duplicated;
    }
    let moved = mesh.backend("orders")?.stats()?.executions - executions;
    let latency = report.latency();
    anstream::println!(
        "traffic: {answered} of {total} calls answered, {doubled} doubled, {moved} at the route's \
         new place; latency p50 {} us, p99 {} us",
        latency.p50_us,
        latency.p99_us
    );
    if answered != total || doubled > 0 {
        return Err(io::Error::other(format!(
            "calls were lost or doubled: {}",
            others(report)
        )));
    }
    if moved == 0 {
        return Err(io::Error::other("the route did not move"));
    }
    Ok(())
}

/// Lists what became of the calls that were not answered.
fn others(report: &Report) -> String {
    let outcomes = [
        Outcome::Truncated,
        Outcome::NoResponse,
        Outcome::Mismatched,
        Outcome::NotRun,
        Outcome::ErrorStatus,
        Outcome::Unknown,
    ];
    let counts = outcomes
        .iter()
        .map(|outcome| format!("{outcome:?} {}", report.count(*outcome)));
    let reasons = report.reasons().iter();
    let reasons = reasons.map(|(reason, count)| format!("{reason} {count}"));
    let all: Vec<String> = counts.chain(reasons).collect();
    all.join(", ")
}
