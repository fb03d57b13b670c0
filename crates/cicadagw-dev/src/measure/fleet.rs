//! `measure fleet`: the whole fleet at several sizes, beside the baseline.

use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

use cicadagw_unit::time::Span;
use compact_str::{CompactString, format_compact};
use tokio::time::{interval, sleep};

use super::converge::{RESOLUTION, last_ms};
use super::figures::{Figures, Size, Trend, quantile, trends};
use super::role::Role;
use super::stage::Stage;
use super::window::Window;
use super::{baseline, recovery};
use crate::process::{Locality, Programs};

/// The most nodes that are started.
pub const NODES_MAX: usize = 100;

/// How long the tree may take to come to rest after the start.
const SETTLING: Duration = Duration::from_secs(10);

/// How much time passes between the changes of the window with changes.
const CHANGE_PERIOD: Span = Span::seconds(1);

/// The figures that the baseline has as well: ours, and its own.
const COMPARED: [(&str, &str); 7] = [
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

/// What is measured.
#[derive(Clone, Debug, bon::Builder, serde::Serialize)]
pub struct Options {
    /// How many changes are timed.
    pub changes: usize,
    /// How many failure domains there are.
    pub domains: usize,
    /// How many regions the failure domains are spread over.
    pub regions: usize,
    /// How many services the configuration has.
    pub services: usize,
    /// How many nodes there are, size by size.
    pub sizes: Vec<usize>,
    /// How long nodes are watched, idle and under changes.
    pub window: Span,
}

/// What was measured.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Report {
    /// What was asked for.
    pub options: Options,
    /// How fine the times of nodes are, in milliseconds.
    pub resolution_ms: u128,
    /// The figures of each size.
    pub sizes: Vec<Size>,
    /// Our figures over those of the baseline, by size.
    pub ratios: BTreeMap<usize, Figures>,
    /// What the figures tell of other sizes.
    pub trends: BTreeMap<CompactString, Trend>,
}

/// Measures each size, and tells `progress` what it does.
///
/// # Errors
///
/// When the options are not good, or a process fails.
pub async fn run(options: Options, progress: fn(&str)) -> io::Result<Report> {
    let places = places(&options)?;
    let programs = Programs::find()?;
    let mut sizes = Vec::new();
    for nodes in &options.sizes {
        progress(&format!("{nodes} nodes"));
        let mut figures = mesh(&programs, &options, &places, *nodes, progress).await?;
        progress("baseline");
        let (services, changes) = (options.services, options.changes);
        figures.extend(baseline::run(&programs, *nodes, services, changes, options.window).await?);
        sizes.push(Size {
            nodes: *nodes,
            figures,
        });
    }
    let ratios = sizes.iter().map(|size| (size.nodes, ratios(&size.figures)));
    Ok(Report {
        resolution_ms: RESOLUTION.as_millis(),
        ratios: ratios.collect(),
        trends: trends(&sizes, options.domains),
        sizes,
        options,
    })
}

/// Measures a fleet of `nodes` nodes.
async fn mesh(
    programs: &Programs,
    options: &Options,
    places: &[Locality],
    nodes: usize,
    progress: fn(&str),
) -> io::Result<Figures> {
    let mut figures = Figures::new();
    let count = nodes / places.len();
    let mut stage = Stage::start(programs, places, count, options.services).await?;
    sleep(SETTLING).await;
    progress("idle");
    let window = Window::open(&stage).await?;
    sleep(options.window.into()).await;
    window.close(&stage, "idle", &mut figures).await?;
    progress("a change every second");
    let window = Window::open(&stage).await?;
    let changes = change_for(&mut stage, options.window).await?;
    window.close(&stage, "changing", &mut figures).await?;
    figures.insert("changing.changes".into(), changes as f64);
    progress("convergence");
    converge(&mut stage, options.changes, &mut figures).await?;
    progress("death of a failure domain");
    recovery::domain(&mut stage, &mut figures).await?;
    sleep(SETTLING).await;
    progress("death of the root");
    recovery::root(&mut stage, &mut figures).await?;
    Ok(figures)
}

/// Accepts a change every second for `span`; returns how many.
async fn change_for(stage: &mut Stage, span: Span) -> io::Result<u64> {
    let changes = span.get() / CHANGE_PERIOD.get();
    let mut ticks = interval(CHANGE_PERIOD.into());
    ticks.tick().await;
    for _ in 0..changes {
        stage.operator.change().await?;
        ticks.tick().await;
    }
    Ok(changes)
}

/// Times changes, one after the other, and what each costs beside the idle load.
async fn converge(stage: &mut Stage, changes: usize, figures: &mut Figures) -> io::Result<()> {
    let admins = stage.admins();
    let mut times = Vec::new();
    for _ in 0..changes {
        let version = stage.operator.version().next();
        let observed = stage.observer.until(&admins, version);
        let (accepted, ends) = tokio::join!(stage.operator.change(), observed);
        times.push(last_ms(accepted?.at, &ends?));
    }
    for (name, share) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
        let value = quantile(&times, share).unwrap_or_default();
        figures.insert(format_compact!("convergence-{name}-ms"), value);
    }
    per_change(figures);
    Ok(())
}

/// Works out what a change costs, from the windows with and without changes.
fn per_change(figures: &mut Figures) {
    let mut costs = Figures::new();
    for (name, value) in &*figures {
        let Some(figure) = name.strip_prefix("changing.") else {
            continue;
        };
        let idle = figures.get(format!("idle.{figure}").as_str());
        let is_rate = figure.ends_with("/s") || figure.ends_with("/s.mean");
        // The window holds one change a second, so a rate's growth is the cost of a change.
        if let Some(idle) = idle.filter(|_| is_rate) {
            let figure = figure.replace("/s", "").replace(".mean", "");
            costs.insert(format_compact!("per-change.{figure}"), value - idle);
        }
    }
    for figure in ["received-payload-B", "received-wire-estimate-B"] {
        let each = each_node(figures, &costs, figure);
        costs.insert(format_compact!("per-change.{figure}/node"), each);
    }
    figures.extend(costs);
}

/// Returns the mean of a cost over the nodes of all roles.
fn each_node(figures: &Figures, costs: &Figures, figure: &str) -> f64 {
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

/// Returns our figures over those of the baseline.
fn ratios(figures: &Figures) -> Figures {
    let ratio = |(own, other): &(&str, &str)| {
        let other = figures.get(*other).filter(|value| **value > 0.0)?;
        Some((CompactString::from(*own), figures.get(*own)? / other))
    };
    COMPARED.iter().filter_map(ratio).collect()
}

/// Returns the regions and failure domains.
fn places(options: &Options) -> io::Result<Vec<Locality>> {
    let too_many = options.sizes.iter().any(|size| *size > NODES_MAX);
    let uneven = |size: &usize| *size == 0 || !size.is_multiple_of(options.domains);
    if options.domains == 0 || options.regions == 0 || options.changes == 0 {
        return Err(io::Error::other(
            "domains, regions and changes are at least one",
        ));
    }
    if too_many || options.sizes.iter().any(uneven) {
        let reason = format!("a size is a multiple of the domains, and at most {NODES_MAX}");
        return Err(io::Error::other(reason));
    }
    let place = |number: usize| -> Result<Locality, cicadagw_unit::Error> {
        let region = number * options.regions / options.domains + 1;
        Ok(Locality {
            region: format!("region-{region}").parse()?,
            domain: format!("domain-{}", number + 1).parse()?,
        })
    };
    let places: Result<_, _> = (0..options.domains).map(place).collect();
    places.map_err(io::Error::other)
}
