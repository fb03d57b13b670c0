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

/// The configuration that is applied first; it routes `/booking` to `catalogue`.
const BEFORE: &str = include_str!("before.jsonc");

/// The configuration that routes `/booking` to `orders` instead.
const AFTER: &str = include_str!("after.jsonc");

/// The timeout for a version to reach every node.
const CONVERGENCE_TIMEOUT: Span = Span::seconds(20);

/// The interval at which a node is polled for its version.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The rate of the calls that are sent while the route moves.
const RATE: PerSecond = PerSecond::new(200);

/// The time for which calls are sent before the route moves, and again afterwards.
const TRAFFIC_SPAN: Span = Span::seconds(1);

/// The part of the JSON output of `cicadactl` for an accepted change that is read.
#[derive(serde::Deserialize)]
struct Accepted {
    version: Version,
    preset: id::Preset,
}

/// Runs all steps of the demo and prints the result of each.
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
        check_route(&mesh, path, service)?;
    }

    let calls: Vec<SocketAddr> = mesh.fleet.nodes.iter().map(|node| node.calls).collect();
    let traffic = Traffic::start(&calls, "/booking", RATE)?;
    traffic.run_for(TRAFFIC_SPAN)?;
    let executions = mesh.backend("orders")?.stats()?.executions;
    let second = ["apply", &after.to_string_lossy()].map(str::to_owned);
    change(&mesh, "moved a route under traffic", &second)?;
    traffic.run_for(TRAFFIC_SPAN)?;
    let report = traffic.finish()?;
    check_traffic(&mesh, &report, executions)?;

    mesh.stop()?;
    anstream::println!("stopped: every backend server and node exited successfully");
    Ok(())
}

/// Makes a change with `cicadactl`, waits until every node holds it and until
/// `cicadactl status` reports that, and prints the times and costs.
fn change(mesh: &Mesh, description: &str, arguments: &[String]) -> io::Result<()> {
    let sent = mesh.sent()?;
    let calls = mesh.platform_calls()?;
    let mut command = vec!["--json"];
    command.extend(arguments.iter().map(String::as_str));
    let accepted: Accepted = serde_json::from_str(&mesh.operator.run(&command)?)?;
    let begin = Instant::now();
    let version = accepted.version;
    block_on(wait_until_held(mesh, version))?;
    let converged = begin.elapsed().as_millis();
    let timeout = CONVERGENCE_TIMEOUT.to_string();
    let text = version.to_string();
    mesh.operator
        .run(&["status", "--wait", &text, "--timeout", &timeout])?;
    let reported = begin.elapsed().as_millis();
    let now = mesh.sent()?;
    let control = describe_control(sent, now);
    let calls = mesh.platform_calls()? - calls;
    anstream::println!(
        "{description}: version {version}, preset {}; held by every node after {converged} ms, \
         reported by status after {reported} ms; {control}; {calls} platform calls",
        accepted.preset,
    );
    Ok(())
}

/// Describes the control bytes that the nodes sent to each other between two readings.
fn describe_control(before: Sent, after: Sent) -> String {
    if after.all.get() == 0 {
        return "control bytes are not counted".to_owned();
    }
    let all = after.all.get().saturating_sub(before.all.get());
    let across = after
        .across_regions
        .get()
        .saturating_sub(before.across_regions.get());
    format!("control {all} B, of which {across} B across regions")
}

/// Waits until every node holds `version` or a newer one.
async fn wait_until_held(mesh: &Mesh, version: Version) -> io::Result<()> {
    let end = Instant::now() + Duration::from(CONVERGENCE_TIMEOUT);
    let mut ticks = interval(POLL_INTERVAL);
    for node in &mesh.fleet.nodes {
        loop {
            let metrics = Metrics::read(node.admin).await.map_err(io::Error::other)?;
            if metrics.held_version >= version {
                break;
            }
            if Instant::now() >= end {
                let name = &node.name;
                let reason = format!(
                    "{name} holds version {}, expected {version}",
                    metrics.held_version
                );
                return Err(io::Error::other(reason));
            }
            ticks.tick().await;
        }
    }
    Ok(())
}

/// Sends calls to each node until one of them is answered, and checks that the backend server of
/// `service` executed one call for each node.
fn check_route(mesh: &Mesh, path: &str, service: &str) -> io::Result<()> {
    let backend = mesh.backend(service)?;
    let begin = Instant::now();
    for node in &mesh.fleet.nodes {
        let outcome = block_on(wait_until_ok(node.calls, path, CONVERGENCE_TIMEOUT));
        outcome.map_err(|error| io::Error::other(format!("{}: {error}", node.name)))?;
    }
    let elapsed = begin.elapsed().as_millis();
    let executions = backend.stats()?.executions;
    let count = mesh.fleet.nodes.len() as u64;
    if executions != count {
        let reason = format!(
            "the backend server of {service} executed {executions} calls, expected {count}"
        );
        return Err(io::Error::other(reason));
    }
    let calls = format!("{count} calls, one at each node, answered by {service}");
    anstream::println!("called {path}: {calls} in {elapsed} ms");
    Ok(())
}

/// Checks that every call was answered, that none was executed twice, and that calls reached the
/// new service of the route; `executions` is the number that `orders` had executed before.
fn check_traffic(mesh: &Mesh, report: &Report, executions: u64) -> io::Result<()> {
    let total = report.total();
    let answered = report.count(Outcome::Answered);
    let mut duplicated = 0;
    for service in ["catalogue", "orders"] {
        duplicated += mesh.backend(service)?.stats()?.duplicated;
    }
    let moved = mesh.backend("orders")?.stats()?.executions - executions;
    let latency = report.latency();
    anstream::println!(
        "traffic: {answered} of {total} calls answered, {duplicated} duplicated, {moved} by the route's \
         new service; latency p50 {} us, p99 {} us",
        latency.p50_us,
        latency.p99_us
    );
    if answered != total || duplicated > 0 {
        return Err(io::Error::other(format!(
            "calls were not answered or were executed twice: {}",
            describe_unanswered(report)
        )));
    }
    if moved == 0 {
        return Err(io::Error::other(
            "no call reached the new service of the moved route",
        ));
    }
    Ok(())
}

/// Lists the outcomes of the calls that were not answered, and the reasons that nodes gave.
fn describe_unanswered(report: &Report) -> String {
    let outcomes = [
        Outcome::Truncated,
        Outcome::NoResponse,
        Outcome::Mismatched,
        Outcome::NotExecuted,
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
