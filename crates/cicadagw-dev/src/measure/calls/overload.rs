//! What becomes of calls beyond the capacity of the backend servers.

use std::io;

use cicadagw_unit::rate::PerSecond;
use cicadagw_unit::time::Span;

use super::bench::{Bench, Kind, PATH, configuration};
use super::figures::Overload;
use super::run::Scale;
use super::traffic::shared;
use crate::caller::{Load, Outcome};

/// How many calls one backend server runs at once.
const WORKERS: u32 = 4;

/// How long one call takes.
const WORK: Span = Span::new(5);

/// How many calls a second all backend servers can run.
const CAPACITY: u32 = 2 * WORKERS * 1_000 / 5;

/// By when a call must be answered, which its caller holds to as well.
const DEADLINE: Span = Span::new(250);

/// The loads, in quarters of the capacity.
const QUARTERS: [u32; 4] = [2, 4, 6, 8];

const LIMITED: &str = r#"{ "concurrency": "4", "queue": "8", "timeout": "250ms" }"#;

const UNLIMITED: &str =
    r#"{ "attempts": 1, "concurrency": "60000", "queue": "60000", "timeout": "60000ms" }"#;

/// Measures all loads, with limits and without.
pub(crate) fn measure(scale: Scale) -> io::Result<Vec<Overload>> {
    let mut figures = Vec::new();
    for (limits, announced, policy) in [(true, WORKERS, LIMITED), (false, 60_000, UNLIMITED)] {
        let kind = Kind {
            announced,
            workers: Some(WORKERS),
            work: WORK,
        };
        for quarters in QUARTERS {
            // Each load begins with empty queues.
            let bench = Bench::start(2, &[0, 1], kind, &configuration(policy, 0))?;
            figures.push(at(&bench, scale, limits, quarters)?);
        }
    }
    Ok(figures)
}

fn at(bench: &Bench, scale: Scale, limits: bool, quarters: u32) -> io::Result<Overload> {
    let rate = CAPACITY * quarters / 4;
    anstream::eprintln!("overload: {rate} calls a second, limits: {limits}");
    let load = Load::builder()
        .addresses(&bench.calls())
        .path(PATH)
        .rate(PerSecond::new(rate))
        .span(scale.span)
        .timeout(DEADLINE)
        .build();
    let report = shared(&load, 2)?;
    let total = report.total().max(1) as f64;
    let answered = report.count(Outcome::Answered);
    let not_run = report.count(Outcome::NotRun);
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
