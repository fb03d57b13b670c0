//! The latency that hops add to a call, and the capacity of the nodes.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use cicadagw_unit::rate::PerSecond;
use cicadagw_unit::time::Span;

use super::figures::{Added, Capacity, Difference, Step};
use super::run::Scale;
use super::testbed::{BackendOptions, PATH, Testbed, configuration};
use super::traffic::{Traffic, run_shared};
use crate::caller::{Latency, Load, Outcome, Report};

/// The rate of the measured calls over each path.
const PROBE_RATE: PerSecond = PerSecond::new(100);

/// The rates, in calls per second, that are tried to find the capacity.
const RATES: [u32; 8] = [1_000, 2_000, 3_000, 4_000, 6_000, 8_000, 12_000, 16_000];

/// The number of threads that send calls when the capacity is measured.
const CALLER_THREADS: u32 = 2;

/// Options of backend servers that respond immediately.
const IMMEDIATE: BackendOptions = BackendOptions {
    announced: 1_000,
    workers: None,
    work: Span::new(0),
};

/// A policy whose limits are not reached here.
const POLICY: &str = r#"{ "concurrency": "1000", "queue": "1000", "timeout": "2000ms" }"#;

/// Starts two nodes, and a backend server on the host of the second.
pub(crate) fn start_testbed() -> io::Result<Testbed> {
    Testbed::start(2, &[1], IMMEDIATE, &configuration(POLICY, 0))
}

/// Measures direct calls and calls over one and two hops at the same time, while `background` calls
/// per second go over two hops.
pub(crate) fn added(testbed: &Testbed, scale: Scale, background: u32) -> io::Result<Added> {
    let calls = testbed.calls();
    let background_calls = match background {
        0 => None,
        rate => {
            let load = load(calls[0], PerSecond::new(rate), scale.span);
            Some(Traffic::start(vec![load])?)
        }
    };
    let paths = [testbed.backends[0].address, calls[1], calls[0]];
    let probes = paths.map(|address| load(address, PROBE_RATE, scale.span));
    let reports = Traffic::start(probes.to_vec())?.wait()?;
    let background_reports = background_calls.map(Traffic::finish).transpose()?;
    let latencies: Vec<Latency> = reports.iter().map(Report::latency).collect();
    let [direct, one_hop, two_hops] = latencies[..] else {
        return Err(io::Error::other(
            "expected one latency for each of three paths",
        ));
    };
    Ok(Added {
        background_per_second: background,
        direct,
        one_hop,
        two_hops,
        by_one_hop: Difference::new(&direct, &one_hop),
        by_two_hops: Difference::new(&direct, &two_hops),
        failed: reports.iter().map(failed).sum(),
        background_failed: background_reports.iter().flatten().map(failed).sum(),
    })
}

/// Finds the highest of the rates over two hops of which at least 99% are answered.
pub(crate) fn capacity(testbed: &Testbed, scale: Scale) -> io::Result<Capacity> {
    let mut steps = Vec::new();
    for rate in RATES {
        let step = measure_rate(testbed, scale, rate)?;
        let is_exceeded = step.answered_per_second * 100 < u64::from(rate) * 99;
        steps.push(step);
        if is_exceeded {
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

/// Measures calls over two hops at one rate.
fn measure_rate(testbed: &Testbed, scale: Scale, rate: u32) -> io::Result<Step> {
    anstream::eprintln!("latency: {rate} calls per second over two hops");
    let load = load(testbed.calls()[0], PerSecond::new(rate), scale.span);
    let cpu_before = testbed.cpu_us()?;
    let begin = Instant::now();
    let report = run_shared(&load, CALLER_THREADS)?;
    let elapsed = begin.elapsed().as_micros().max(1);
    let cpu_us = testbed.cpu_us()? - cpu_before;
    let answered = report.count(Outcome::Answered);
    Ok(Step {
        offered_per_second: rate,
        answered_per_second: u64::try_from(u128::from(answered) * 1_000_000 / elapsed)
            .unwrap_or(u64::MAX),
        failed: failed(&report),
        processor_us_per_call: cpu_us as f64 / report.total().max(1) as f64,
        p99_us: report.latency().p99_us,
        lag_p99_us: report.lag().p99_us,
    })
}

/// Returns the number of calls that were not answered.
fn failed(report: &Report) -> u64 {
    report.total() - report.count(Outcome::Answered)
}

/// Returns a load of calls to one address.
fn load(address: SocketAddr, rate: PerSecond, span: Span) -> Load {
    Load::builder()
        .addresses(&[address])
        .path(PATH)
        .rate(rate)
        .span(span)
        .build()
}
