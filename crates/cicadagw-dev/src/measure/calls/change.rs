//! What becomes of calls while nodes and backend servers restart and configurations change.

use std::io;
use std::path::PathBuf;
use std::time::Instant;

use cicadagw_unit::rate::PerSecond;
use cicadagw_unit::time::Span;

use super::bench::{Bench, Kind, PATH, configuration};
use super::figures::Change;
use super::traffic::Traffic;
use crate::caller::{Load, Outcome, Report};
use crate::mesh::Journal;

/// How many calls are sent in a second.
const RATE: PerSecond = PerSecond::new(200);

/// The longest that calls are sent.
const LONGEST: Span = Span::seconds(600);

/// How many nodes there are; a backend server stands on each host.
const NODES: usize = 3;

/// At how many nodes a call is tried that surely did not run.
const ATTEMPTS: u8 = 3;

/// How many times the configuration is changed.
const CHANGES: usize = 100;

const POLICY: &str = r#"{ "timeout": "2000ms" }"#;

/// What is done while calls go on.
#[derive(Clone, Copy, Debug)]
enum Act {
    RestartNodes,
    RestartBackends,
    ChangeConfigurations,
}

impl Act {
    const ALL: [Self; 3] = [
        Self::RestartNodes,
        Self::RestartBackends,
        Self::ChangeConfigurations,
    ];

    const fn name(self) -> &'static str {
        match self {
            Self::RestartNodes => "all nodes restarted in turn",
            Self::RestartBackends => "all backend servers restarted in turn",
            Self::ChangeConfigurations => "100 changes of configuration",
        }
    }

    /// Does it, and returns the journals of the backend servers that it ended.
    fn run(self, bench: &mut Bench) -> io::Result<Vec<PathBuf>> {
        match self {
            Self::RestartNodes => {
                for index in 0..NODES {
                    bench.restart(index)?;
                    bench.reach()?;
                }
                Ok(Vec::new())
            }
            Self::RestartBackends => (0..NODES).map(|host| replace(bench, host)).collect(),
            Self::ChangeConfigurations => {
                for number in 1..=CHANGES {
                    bench.apply("next.jsonc", &configuration(POLICY, number))?;
                }
                Ok(Vec::new())
            }
        }
    }
}

/// Measures each act on processes of its own.
pub(crate) fn measure() -> io::Result<Vec<Change>> {
    Act::ALL.into_iter().map(during).collect()
}

fn during(act: Act) -> io::Result<Change> {
    anstream::eprintln!("changes: {}", act.name());
    let kind = Kind {
        announced: 10,
        workers: None,
        work: Span::new(2),
    };
    let hosts: Vec<usize> = (0..NODES).collect();
    let mut bench = Bench::start(NODES, &hosts, kind, &configuration(POLICY, 0))?;
    let load = Load::builder()
        .addresses(&bench.calls())
        .attempts(ATTEMPTS)
        .path(PATH)
        .rate(RATE)
        .span(LONGEST)
        .build();
    let begin = Instant::now();
    let traffic = Traffic::start(vec![load])?;
    let mut journals = act.run(&mut bench)?;
    let mut report = Report::default();
    for part in traffic.finish()? {
        report.merge(part);
    }
    let seconds = begin.elapsed().as_secs_f64();
    for backend in std::mem::take(&mut bench.backends) {
        journals.push(bench.end_backend(backend)?);
    }
    let ran = Journal::read(&journals)?;
    Ok(judge(act, &report, &ran, seconds))
}

/// Puts a new backend server in the place of the one on the host of node `host`.
fn replace(bench: &mut Bench, host: usize) -> io::Result<PathBuf> {
    let new = bench.start_backend(host)?;
    let old = std::mem::replace(&mut bench.backends[host], new);
    bench.end_backend(old)
}

/// Holds what callers were told against what the backend servers ran.
fn judge(act: Act, report: &Report, ran: &Journal, seconds: f64) -> Change {
    let count = |verdict| report.count(verdict);
    Change {
        what: act.name(),
        calls: report.total(),
        answered: count(Outcome::Answered),
        not_run: count(Outcome::NotRun),
        lost: count(Outcome::NoResponse),
        unknown: count(Outcome::Unknown),
        others: count(Outcome::Truncated)
            + count(Outcome::Mismatched)
            + count(Outcome::ErrorStatus),
        doubled: ran.duplicated().len(),
        denied: ran.executed(report.requests(Outcome::NotRun)).len(),
        seconds,
    }
}
