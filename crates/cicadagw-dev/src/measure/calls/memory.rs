//! The memory that calls and large bodies take on a node.

use std::io;

use cicadagw_unit::rate::PerSecond;
use cicadagw_unit::time::Span;

use super::figures::Memory;
use super::testbed::{BackendOptions, PATH, Testbed, configuration};
use super::traffic::Traffic;
use super::usage;
use crate::backend::Stats;
use crate::caller::{Load, Outcome};
use crate::http::{block_on, get_json};

/// The number of calls in flight; a node holds at most 512 connections to another node.
const IN_FLIGHT: u32 = 400;

/// The time for which the backend server executes each of the calls in flight.
const WORK: Span = Span::seconds(4);

/// The time after which all [`IN_FLIGHT`] calls are in flight.
const SETTLE_TIME: Span = Span::seconds(2);

/// The number of bytes streamed in each direction.
const STREAMED_BYTES: usize = 64 << 20;

/// A policy whose limits are not reached here.
const POLICY: &str = r#"{ "concurrency": "1000", "queue": "1000", "timeout": "60000ms" }"#;

/// Measures the memory of calls in flight, and the peak memory with large bodies.
pub(crate) fn measure() -> io::Result<Memory> {
    let options = |work| BackendOptions {
        announced: 1_000,
        workers: None,
        work,
    };
    let start = |work| Testbed::start(2, &[1], options(work), &configuration(POLICY, 0));
    let slow = start(WORK)?;
    anstream::eprintln!("memory: {IN_FLIGHT} calls in flight");
    let idle = read(&slow, usage::resident)?;
    let busy = measure_busy(&slow)?;
    drop(slow);
    let immediate = start(Span::new(0))?;
    anstream::eprintln!("memory: {STREAMED_BYTES} bytes in each direction");
    let before = read(&immediate, usage::peak)?;
    let streamed_is_answered = stream(&immediate)?;
    let growth = |(busy, idle): (&u64, &u64)| busy.saturating_sub(*idle);
    let per_1000 = |growth: u64| growth * 1_000 / u64::from(IN_FLIGHT);
    let pairs = busy.iter().zip(&idle);
    Ok(Memory {
        in_flight: IN_FLIGHT,
        bytes_per_1000_calls: pairs.map(growth).map(per_1000).collect(),
        idle_bytes: idle,
        busy_bytes: busy,
        streamed_bytes: STREAMED_BYTES,
        streamed_is_answered,
        peak_before_bytes: before,
        peak_after_bytes: read(&immediate, usage::peak)?,
    })
}

/// Calls `figure` with the process id of each node; returns the results in bytes.
fn read(
    testbed: &Testbed,
    figure: impl Fn(u32) -> io::Result<cicadagw_unit::size::Bytes>,
) -> io::Result<Vec<u64>> {
    let pids = testbed.pids();
    pids.into_iter().map(|pid| Ok(figure(pid)?.get())).collect()
}

/// Returns the resident memory of each node once all calls are at the backend server.
fn measure_busy(testbed: &Testbed) -> io::Result<Vec<u64>> {
    let load = Load::builder()
        .addresses(&testbed.calls()[..1])
        .path(PATH)
        .rate(PerSecond::new(IN_FLIGHT))
        .span(Span::seconds(1))
        .timeout(Span::seconds(60))
        .build();
    let traffic = Traffic::start(vec![load])?;
    traffic.run_for(SETTLE_TIME)?;
    let address = testbed.backends[0].address;
    let stats: Stats = block_on(get_json(address, "/stats")).map_err(io::Error::other)?;
    let busy = read(testbed, usage::resident)?;
    traffic.wait()?;
    if stats.in_flight < IN_FLIGHT {
        let reason = format!(
            "expected {IN_FLIGHT} calls in flight, found {}",
            stats.in_flight
        );
        return Err(io::Error::other(reason));
    }
    Ok(busy)
}

/// Streams one large body in each direction over both nodes; returns whether the outcome is
/// [`Outcome::Answered`].
fn stream(testbed: &Testbed) -> io::Result<bool> {
    let load = Load::builder()
        .addresses(&testbed.calls()[..1])
        .min_response_bytes(STREAMED_BYTES)
        .body(vec![b'x'; STREAMED_BYTES].into())
        .path(PATH)
        .rate(PerSecond::new(1))
        .span(Span::seconds(1))
        .timeout(Span::seconds(60))
        .build();
    let reports = Traffic::start(vec![load])?.wait()?;
    Ok(reports
        .iter()
        .all(|report| report.count(Outcome::Answered) == 1))
}
