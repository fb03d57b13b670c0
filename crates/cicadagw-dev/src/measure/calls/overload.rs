//! The outcomes of calls at loads up to twice the capacity of the backend servers.

use std::io;

use cicadagw_unit::rate::PerSecond;
use cicadagw_unit::time::Span;

use super::figures::Overload;
use super::run::Scale;
use super::testbed::{BackendOptions, PATH, Testbed, configuration};
use super::traffic::run_shared;
use crate::caller::{Load, Outcome};

/// The number of calls that one backend server executes concurrently.
const WORKERS: u32 = 4;

/// The execution time of a call.
const WORK: Span = Span::new(5);

/// The calls per second that the two backend servers can execute.
const CAPACITY: u32 = 2 * WORKERS * 1_000 / 5;

/// The timeout of a call, after which its caller gives up.
const DEADLINE: Span = Span::new(250);

/// The loads, in quarters of the capacity.
const QUARTERS: [u32; 4] = [2, 4, 6, 8];

/// A policy that limits calls to what the backend servers can execute in time.
const LIMITED: &str = r#"{ "concurrency": "4", "queue": "8", "timeout": "250ms" }"#;

/// A policy whose limits are not reached.
const UNLIMITED: &str =
    r#"{ "attempts": 1, "concurrency": "60000", "queue": "60000", "timeout": "60000ms" }"#;

/// Measures each load, first with limits and then without.
pub(crate) fn measure(scale: Scale) -> io::Result<Vec<Overload>> {
    let mut figures = Vec::new();
    for (limits, announced, policy) in [(true, WORKERS, LIMITED), (false, 60_000, UNLIMITED)] {
        let options = BackendOptions {
            announced,
            workers: Some(WORKERS),
            work: WORK,
        };
        for quarters in QUARTERS {
            // New processes, so that each load begins with empty queues.
            let testbed = Testbed::start(2, &[0, 1], options, &configuration(policy, 0))?;
            figures.push(measure_load(&testbed, scale, limits, quarters)?);
        }
    }
    Ok(figures)
}

/// Measures the outcomes of calls at one load.
fn measure_load(
    testbed: &Testbed,
    scale: Scale,
    limits: bool,
    quarters: u32,
) -> io::Result<Overload> {
    let rate = CAPACITY * quarters / 4;
    anstream::eprintln!("overload: {rate} calls per second, limits: {limits}");
    let load = Load::builder()
        .addresses(&testbed.calls())
        .path(PATH)
        .rate(PerSecond::new(rate))
        .span(scale.span)
        .timeout(DEADLINE)
        .build();
    let report = run_shared(&load, 2)?;
    let total = report.total().max(1) as f64;
    let answered = report.count(Outcome::Answered);
    let not_run = report.count(Outcome::NotExecuted);
    let others = report.total() - answered - not_run;
    Ok(Overload {
        limits,
        load: f64::from(quarters) / 4.0,
        offered_per_second: rate,
        answered_per_second: answered * 1_000 / scale.span.get(),
        answered: report.latency(),
        not_run_share: not_run as f64 / total,
        other_share: others as f64 / total,
    })
}
