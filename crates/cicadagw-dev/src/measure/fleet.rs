//! `measure fleet`: measures a whole fleet at several sizes and compares it with the baseline.

use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

use cicadagw_unit::time::Span;
use compact_str::{CompactString, format_compact};
use tokio::time::{interval, sleep};

use super::converge::{POLL_INTERVAL, latest_ms};
use super::figures::{Figures, FleetFigures, Trend, quantile, trends};
use super::role::Role;
use super::testbed::Testbed;
use super::window::Window;
use super::{baseline, recovery};
use crate::process::{Locality, Programs};

/// The largest fleet size that is accepted.
pub const NODES_MAX: usize = 100;

/// The time for which the tree is left to settle after nodes have started.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// The time between two changes in the window with changes.
const CHANGE_PERIOD: Span = Span::seconds(1);

/// The figures that are compared with the baseline: that of the fleet, and that of the baseline.
const COMPARISONS: [(&str, &str); 7] = [
    ("convergence-p50-ms", "baseline.convergence-p50-ms"),
    ("convergence-p99-ms", "baseline.convergence-p99-ms"),
    ("convergence-max-ms", "baseline.convergence-max-ms"),
    (
        "per-change.received-payload-B/node",
        "baseline.received-B/change/node",
    ),
    (
        "per-change.received-wire-estimate-B/node",
        "baseline.received-B/change/node",
    ),
    (
        "per-change.node-platform-calls",
        "baseline.platform-calls/change",
    ),
    (
        "idle.node-platform-calls/s",
        "baseline.idle.platform-calls/s",
    ),
];

/// The options of a measurement.
#[derive(Clone, Debug, bon::Builder, serde::Serialize)]
pub struct Options {
    /// The number of changes whose convergence is timed.
    pub changes: usize,
    /// The number of failure domains.
    pub domains: usize,
    /// The number of regions that the failure domains are spread over.
    pub regions: usize,
    /// The number of services in the configuration.
    pub services: usize,
    /// The numbers of nodes to measure, one after the other.
    pub sizes: Vec<usize>,
    /// The time for which usage is measured, once idle and once under changes.
    pub window: Span,
}

/// The results of a measurement.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Report {
    /// The options of the measurement.
    pub options: Options,
    /// The resolution of the convergence times, in milliseconds.
    pub resolution_ms: u128,
    /// The figures of each size.
    pub sizes: Vec<FleetFigures>,
    /// The figures of the fleet divided by those of the baseline, by number of nodes.
    pub ratios: BTreeMap<usize, Figures>,
    /// The trend of each figure over the sizes, with extrapolations.
    pub trends: BTreeMap<CompactString, Trend>,
}

/// Measures each size with the fleet and the baseline, and reports each phase to `progress`.
///
/// # Errors
///
/// Fails if the options are invalid, or a process fails.
pub async fn run(options: Options, progress: fn(&str)) -> io::Result<Report> {
    let localities = localities(&options)?;
    let programs = Programs::find()?;
    let mut sizes = Vec::new();
    for nodes in &options.sizes {
        progress(&format!("{nodes} nodes"));
        let mut figures = measure_size(&programs, &options, &localities, *nodes, progress).await?;
        progress("baseline");
        let (services, changes) = (options.services, options.changes);
        figures.extend(baseline::run(&programs, *nodes, services, changes, options.window).await?);
        sizes.push(FleetFigures {
            nodes: *nodes,
            figures,
        });
    }
    let ratios = sizes
        .iter()
        .map(|fleet| (fleet.nodes, ratios(&fleet.figures)));
    Ok(Report {
        resolution_ms: POLL_INTERVAL.as_millis(),
        ratios: ratios.collect(),
        trends: trends(&sizes, options.domains),
        sizes,
        options,
    })
}

/// Measures a fleet of `nodes` nodes, divided evenly over `localities`.
async fn measure_size(
    programs: &Programs,
    options: &Options,
    localities: &[Locality],
    nodes: usize,
    progress: fn(&str),
) -> io::Result<Figures> {
    let mut figures = Figures::new();
    let count = nodes / localities.len();
    let mut testbed = Testbed::start(programs, localities, count, options.services).await?;
    sleep(SETTLE_TIME).await;
    progress("idle");
    let window = Window::open(&testbed).await?;
    sleep(options.window.into()).await;
    window.close(&testbed, "idle", &mut figures).await?;
    progress("one change per second");
    let window = Window::open(&testbed).await?;
    let changes = apply_changes(&mut testbed, options.window).await?;
    window.close(&testbed, "changing", &mut figures).await?;
    figures.insert("changing.changes".into(), changes as f64);
    progress("convergence");
    measure_convergence(&mut testbed, options.changes, &mut figures).await?;
    progress("loss of a failure domain");
    recovery::measure_domain_loss(&mut testbed, &mut figures).await?;
    sleep(SETTLE_TIME).await;
    progress("loss of the fleet root");
    recovery::measure_root_loss(&mut testbed, &mut figures).await?;
    Ok(figures)
}

/// Accepts one change per second for `span`; returns the number of changes.
async fn apply_changes(testbed: &mut Testbed, span: Span) -> io::Result<u64> {
    let changes = span.get() / CHANGE_PERIOD.get();
    let mut ticks = interval(CHANGE_PERIOD.into());
    ticks.tick().await;
    for _ in 0..changes {
        testbed.operator.change().await?;
        ticks.tick().await;
    }
    Ok(changes)
}

/// Times the convergence of `changes` changes, one after the other, and adds the cost of a change.
async fn measure_convergence(
    testbed: &mut Testbed,
    changes: usize,
    figures: &mut Figures,
) -> io::Result<()> {
    let admins = testbed.admins();
    let mut times = Vec::new();
    for _ in 0..changes {
        let version = testbed.operator.version().next();
        let observed = testbed.observer.wait_for(&admins, version);
        let (accepted, ends) = tokio::join!(testbed.operator.change(), observed);
        times.push(latest_ms(accepted?.at, &ends?));
    }
    for (name, share) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
        let value = quantile(&times, share).unwrap_or_default();
        figures.insert(format_compact!("convergence-{name}-ms"), value);
    }
    add_cost_per_change(figures);
    Ok(())
}

/// Adds the cost of one change: the growth of each rate from the idle window to the one with changes.
fn add_cost_per_change(figures: &mut Figures) {
    let mut costs = Figures::new();
    for (name, value) in &*figures {
        let Some(figure) = name.strip_prefix("changing.") else {
            continue;
        };
        let idle = figures.get(format!("idle.{figure}").as_str());
        let is_rate = figure.ends_with("/s") || figure.ends_with("/s.mean");
        // There is one change per second, so the growth of a rate is the cost of one change.
        if let Some(idle) = idle.filter(|_| is_rate) {
            let figure = figure.replace("/s", "").replace(".mean", "");
            costs.insert(format_compact!("per-change.{figure}"), value - idle);
        }
    }
    for figure in ["received-payload-B", "received-wire-estimate-B"] {
        let per_node = mean_per_node(figures, &costs, figure);
        costs.insert(format_compact!("per-change.{figure}/node"), per_node);
    }
    figures.extend(costs);
}

/// Returns the mean of a cost over all nodes, from the means of their roles.
fn mean_per_node(figures: &Figures, costs: &Figures, figure: &str) -> f64 {
    let (mut sum, mut count) = (0.0, 0.0);
    for role in Role::ALL.map(Role::as_str) {
        let nodes = figures.get(format!("changing.{role}.nodes").as_str());
        let cost = costs.get(format!("per-change.{role}.{figure}").as_str());
        if let Some((nodes, cost)) = nodes.zip(cost) {
            sum += nodes * cost;
            count += nodes;
        }
    }
    sum / count
}

/// Returns the figures of the fleet divided by those of the baseline; figures that are zero in the
/// baseline are left out.
fn ratios(figures: &Figures) -> Figures {
    let ratio = |(fleet, baseline): &(&str, &str)| {
        let baseline = figures.get(*baseline).filter(|value| **value > 0.0)?;
        Some((CompactString::from(*fleet), figures.get(*fleet)? / baseline))
    };
    COMPARISONS.iter().filter_map(ratio).collect()
}

/// Checks the options and returns the failure domains, each with its region.
fn localities(options: &Options) -> io::Result<Vec<Locality>> {
    let too_many = options.sizes.iter().any(|size| *size > NODES_MAX);
    let uneven = |size: &usize| *size == 0 || !size.is_multiple_of(options.domains);
    if options.domains == 0 || options.regions == 0 || options.changes == 0 {
        return Err(io::Error::other(
            "domains, regions and changes must each be at least 1",
        ));
    }
    if too_many || options.sizes.iter().any(uneven) {
        let reason =
            format!("each size must be a positive multiple of domains, and at most {NODES_MAX}");
        return Err(io::Error::other(reason));
    }
    let locality = |number: usize| -> Result<Locality, cicadagw_unit::Error> {
        let region = number * options.regions / options.domains + 1;
        Ok(Locality {
            region: format!("region-{region}").parse()?,
            domain: format!("domain-{}", number + 1).parse()?,
        })
    };
    let localities: Result<_, _> = (0..options.domains).map(locality).collect();
    localities.map_err(io::Error::other)
}
