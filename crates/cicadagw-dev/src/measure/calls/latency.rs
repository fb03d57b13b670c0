//! What hops add to a call, and how many calls the nodes carry.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use cicadagw_unit::rate::PerSecond;
use cicadagw_unit::time::Span;

use super::bench::{Bench, Kind, PATH, configuration};
use super::figures::{Added, Capacity, Difference, Step};
use super::run::Scale;
use super::traffic::{Traffic, shared};
use crate::caller::{Latency, Load, Outcome, Report};

/// How many measured calls are sent in a second over each path.
const PROBES: PerSecond = PerSecond::new(100);

/// The rates that are tried to find the capacity.
const RATES: [u32; 8] = [1_000, 2_000, 3_000, 4_000, 6_000, 8_000, 12_000, 16_000];

/// How many threads send calls when the capacity is looked for.
const CALLERS: u32 = 2;

/// Backend servers that answer at once.
const QUICK: Kind = Kind {
    announced: 1_000,
    workers: None,
    work: Span::new(0),
};

/// Limits that play no part here.
const POLICY: &str = r#"{ "concurrency": "1000", "queue": "1000", "timeout": "2000ms" }"#;

/// Two nodes, and a backend server on the host of the second.
pub(crate) fn bench() -> io::Result<Bench> {
    Bench::start(2, &[1], QUICK, &configuration(POLICY, 0))
}

/// Measures direct calls and calls over one and two hops side by side, while `background` calls a
/// second go over two hops.
pub(crate) fn added(bench: &Bench, scale: Scale, background: u32) -> io::Result<Added> {
    let calls = bench.calls();
    let others = match background {
        0 => None,
        rate => {
            let load = load(calls[0], PerSecond::new(rate), scale.span);
            Some(Traffic::start(vec![load])?)
        }
    };
    let paths = [bench.backends[0].address, calls[1], calls[0]];
    let probes = paths.map(|address| load(address, PROBES, scale.span));
    let reports = Traffic::start(probes.to_vec())?.wait()?;
    let others = others.map(Traffic::finish).transpose()?;
    let latencies: Vec<Latency> = reports.iter().map(Report::latency).collect();
    let [direct, one_hop, two_hops] = latencies[..] else {
        return Err(io::Error::other("a path was not measured"));
    };
    Ok(Added {
        background_per_second: background,
        direct,
        one_hop,
        two_hops,
        by_one_hop: Difference::new(&direct, &one_hop),
        by_two_hops: Difference::new(&direct, &two_hops),
        failed: reports.iter().map(failed).sum(),
        background_failed: others.iter().flatten().map(failed).sum(),
    })
}

/// Looks for the highest rate over two hops of which 99 in 100 are answered.
pub(crate) fn capacity(bench: &Bench, scale: Scale) -> io::Result<Capacity> {
    let mut steps = Vec::new();
    for rate in RATES {
        let step = step(bench, scale, rate)?;
        let is_enough = step.answered_per_second * 100 < u64::from(rate) * 99;
        steps.push(step);
        if is_enough {
            break;
        }
    }
    let carried =
        |step: &&Step| step.answered_per_second * 100 >= u64::from(step.offered_per_second) * 99;
    let best = steps.iter().rfind(carried).or(steps.first());
    let best = best.ok_or_else(|| io::Error::other("no rate was tried"))?;
    Ok(Capacity {
        calls_per_second: best.answered_per_second,
        processor_us_per_call: best.processor_us_per_call,
        hops_per_second_per_core: 2.0 * 1e6 / best.processor_us_per_call,
        steps,
    })
}

fn step(bench: &Bench, scale: Scale, rate: u32) -> io::Result<Step> {
    anstream::eprintln!("calls: {rate} a second over two hops");
    let load = load(bench.calls()[0], PerSecond::new(rate), scale.span);
    let processor = bench.processor_us()?;
    let begin = Instant::now();
    let report = shared(&load, CALLERS)?;
    let elapsed = begin.elapsed().as_micros().max(1);
    let spent = bench.processor_us()? - processor;
    let answered = report.count(Outcome::Answered);
    Ok(Step {
        offered_per_second: rate,
        answered_per_second: u64::try_from(u128::from(answered) * 1_000_000 / elapsed)
            .unwrap_or(u64::MAX),
        failed: failed(&report),
        processor_us_per_call: spent as f64 / report.total().max(1) as f64,
        p99_us: report.latency().p99_us,
        lag_p99_us: report.lag().p99_us,
    })
}

fn failed(report: &Report) -> u64 {
    report.total() - report.count(Outcome::Answered)
}

fn load(address: SocketAddr, rate: PerSecond, span: Span) -> Load {
    Load::builder()
        .addresses(&[address])
        .path(PATH)
        .rate(rate)
        .span(span)
        .build()
}
