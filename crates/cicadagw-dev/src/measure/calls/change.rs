//! The outcomes of calls while nodes and backend servers restart and configurations change.

use std::io;
use std::path::PathBuf;
use std::time::Instant;

use cicadagw_unit::rate::PerSecond;
use cicadagw_unit::time::Span;

use super::figures::Change;
use super::testbed::{BackendOptions, PATH, Testbed, configuration};
use super::traffic::Traffic;
use crate::caller::{Load, Outcome, Report};
use crate::mesh::Journal;

/// The rate at which calls are sent.
const RATE: PerSecond = PerSecond::new(200);

/// The maximum time for which calls are sent.
const SPAN_MAX: Span = Span::seconds(600);

/// The number of nodes; the host of each has one backend server.
const NODES: usize = 3;

/// The number of nodes that the caller tries for a call as long as it was certainly not executed.
const ATTEMPTS: u8 = 3;

/// The number of configuration changes.
const CHANGES: usize = 100;

/// The policy of all calls.
const POLICY: &str = r#"{ "timeout": "2000ms" }"#;

/// A disruption while calls are sent.
#[derive(Clone, Copy, Debug)]
enum Disruption {
    /// Restarts each node, one after the other, and waits until calls are served.
    RestartNodes,
    /// Replaces the backend server of each host by a new one, one after the other.
    RestartBackends,
    /// Applies configurations one after the other.
    ChangeConfigurations,
}

impl Disruption {
    const ALL: [Self; 3] = [
        Self::RestartNodes,
        Self::RestartBackends,
        Self::ChangeConfigurations,
    ];

    /// Returns the name of the disruption in the report.
    const fn name(self) -> &'static str {
        match self {
            Self::RestartNodes => "all nodes restarted in turn",
            Self::RestartBackends => "all backend servers restarted in turn",
            Self::ChangeConfigurations => "100 changes of configuration",
        }
    }

    /// Carries out the disruption; returns the journals of the backend servers that it ended.
    fn run(self, testbed: &mut Testbed) -> io::Result<Vec<PathBuf>> {
        match self {
            Self::RestartNodes => {
                for index in 0..NODES {
                    testbed.restart(index)?;
                    testbed.wait_until_served()?;
                }
                Ok(Vec::new())
            }
            Self::RestartBackends => (0..NODES).map(|host| replace(testbed, host)).collect(),
            Self::ChangeConfigurations => {
                for number in 1..=CHANGES {
                    testbed.apply("next.jsonc", &configuration(POLICY, number))?;
                }
                Ok(Vec::new())
            }
        }
    }
}

/// Measures the outcomes of calls during each disruption, each with new processes.
pub(crate) fn measure() -> io::Result<Vec<Change>> {
    Disruption::ALL.into_iter().map(measure_during).collect()
}

/// Sends calls during one disruption, and compares the outcomes with the journals of all backend
/// servers.
fn measure_during(disruption: Disruption) -> io::Result<Change> {
    anstream::eprintln!("changes: {}", disruption.name());
    let options = BackendOptions {
        announced: 10,
        workers: None,
        work: Span::new(2),
    };
    let hosts: Vec<usize> = (0..NODES).collect();
    let mut testbed = Testbed::start(NODES, &hosts, options, &configuration(POLICY, 0))?;
    let load = Load::builder()
        .addresses(&testbed.calls())
        .attempts(ATTEMPTS)
        .path(PATH)
        .rate(RATE)
        .span(SPAN_MAX)
        .build();
    let begin = Instant::now();
    let traffic = Traffic::start(vec![load])?;
    let mut journals = disruption.run(&mut testbed)?;
    let mut report = Report::default();
    for finished in traffic.finish()? {
        report.merge(finished);
    }
    let seconds = begin.elapsed().as_secs_f64();
    for backend in std::mem::take(&mut testbed.backends) {
        journals.push(testbed.end_backend(backend)?);
    }
    let journal = Journal::read(&journals)?;
    Ok(compare(disruption, &report, &journal, seconds))
}

/// Starts a new backend server on the host of node `host` and ends the old one; returns the journal
/// of the old one.
fn replace(testbed: &mut Testbed, host: usize) -> io::Result<PathBuf> {
    let new = testbed.start_backend(host)?;
    let old = std::mem::replace(&mut testbed.backends[host], new);
    testbed.end_backend(old)
}

/// Compares the outcomes that the callers got with the requests that the backend servers
/// executed.
fn compare(disruption: Disruption, report: &Report, journal: &Journal, seconds: f64) -> Change {
    let count = |outcome| report.count(outcome);
    Change {
        what: disruption.name(),
        calls: report.total(),
        answered: count(Outcome::Answered),
        not_run: count(Outcome::NotExecuted),
        lost: count(Outcome::NoResponse),
        unknown: count(Outcome::Unknown),
        others: count(Outcome::Truncated)
            + count(Outcome::Mismatched)
            + count(Outcome::ErrorStatus),
        doubled: journal.duplicated().len(),
        denied: journal
            .executed(report.requests(Outcome::NotExecuted))
            .len(),
        seconds,
    }
}
