//! What calls and large bodies hold of the memory of a node.

use std::io;

use cicadagw_unit::rate::PerSecond;
use cicadagw_unit::time::Span;

use super::bench::{Bench, Kind, PATH, configuration};
use super::figures::Memory;
use super::traffic::Traffic;
use super::usage;
use crate::backend::Stats;
use crate::caller::{Load, Outcome};
use crate::http::{block_on, get_json};

/// How many calls are in flight; a node holds at most 512 connections to another one.
const IN_FLIGHT: u32 = 400;

/// How long each of them takes.
const WORK: Span = Span::seconds(4);

/// After what time they are all there.
const SETTLE: Span = Span::seconds(2);

/// How many bytes are streamed each way.
const STREAMED: usize = 64 << 20;

const POLICY: &str = r#"{ "concurrency": "1000", "queue": "1000", "timeout": "60000ms" }"#;

/// Measures both.
pub(crate) fn measure() -> io::Result<Memory> {
    let kind = |work| Kind {
        announced: 1_000,
        workers: None,
        work,
    };
    let start = |work| Bench::start(2, &[1], kind(work), &configuration(POLICY, 0));
    let slow = start(WORK)?;
    anstream::eprintln!("memory: {IN_FLIGHT} calls in flight");
    let idle = read(&slow, usage::resident)?;
    let busy = busy(&slow)?;
    drop(slow);
    let quick = start(Span::new(0))?;
    anstream::eprintln!("memory: {STREAMED} bytes each way");
    let before = read(&quick, usage::peak)?;
    let streamed_is_answered = stream(&quick)?;
    let held = |(busy, idle): (&u64, &u64)| busy.saturating_sub(*idle);
    let per_1000 = |held: u64| held * 1_000 / u64::from(IN_FLIGHT);
    let pairs = busy.iter().zip(&idle);
    Ok(Memory {
        in_flight: IN_FLIGHT,
        bytes_per_1000_calls: pairs.map(held).map(per_1000).collect(),
        idle_bytes: idle,
        busy_bytes: busy,
        streamed_bytes: STREAMED,
        streamed_is_answered,
        peak_before_bytes: before,
        peak_after_bytes: read(&quick, usage::peak)?,
    })
}

/// Reads a figure of every node.
fn read(
    bench: &Bench,
    figure: impl Fn(u32) -> io::Result<cicadagw_unit::size::Bytes>,
) -> io::Result<Vec<u64>> {
    let pids = bench.pids();
    pids.into_iter().map(|pid| Ok(figure(pid)?.get())).collect()
}

/// Returns what the nodes hold once all calls are at the backend server.
fn busy(bench: &Bench) -> io::Result<Vec<u64>> {
    let load = Load::builder()
        .addresses(&bench.calls()[..1])
        .path(PATH)
        .rate(PerSecond::new(IN_FLIGHT))
        .span(Span::seconds(1))
        .timeout(Span::seconds(60))
        .build();
    let traffic = Traffic::start(vec![load])?;
    traffic.go_on(SETTLE)?;
    let address = bench.backends[0].address;
    let stats: Stats = block_on(get_json(address, "/stats")).map_err(io::Error::other)?;
    let busy = read(bench, usage::resident)?;
    traffic.wait()?;
    if stats.in_flight < IN_FLIGHT {
        let reason = format!("{} calls were in flight at once", stats.in_flight);
        return Err(io::Error::other(reason));
    }
    Ok(busy)
}

/// Streams one large body each way over both nodes; tells whether the answer came whole.
fn stream(bench: &Bench) -> io::Result<bool> {
    let load = Load::builder()
        .addresses(&bench.calls()[..1])
        .answer_bytes(STREAMED)
        .body(vec![b'x'; STREAMED].into())
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
