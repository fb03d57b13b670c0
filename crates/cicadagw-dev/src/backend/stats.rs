//! Statistics of a test backend server.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;

use compact_str::CompactString;

/// Statistics of a test backend server, as `/stats` reports them.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stats {
    /// The number of requests that were executed more than once.
    #[serde(rename = "doubled")]
    pub duplicated: usize,
    /// The number of executions, repeated ones and those without a request id included.
    pub executions: u64,
    /// The number of calls in flight.
    pub in_flight: u32,
    /// The highest number of calls that were in flight at once.
    pub in_flight_max: u32,
    /// The number of requests that were executed at least once.
    pub requests: usize,
    /// The number of calls that were shed with status 503 and not executed.
    pub shed: u64,
}

/// The number of executions of each request, by request id.
#[derive(Debug, Default)]
pub(crate) struct Executions {
    counts: HashMap<CompactString, u32>,
    journal: Option<File>,
    total: u64,
}

impl Executions {
    /// Creates counts that also append the ids of executed requests to `journal`.
    pub(crate) fn new(journal: Option<File>) -> Self {
        Self {
            journal,
            ..Self::default()
        }
    }

    /// Records one execution of the request with the id `request` and returns how often it has been
    /// executed. A request without an id counts in the total alone.
    pub(crate) fn record(&mut self, request: &str) -> u32 {
        self.total += 1;
        if request.is_empty() {
            return 1;
        }
        if let Some(journal) = &mut self.journal {
            let line = format!("{request}\n");
            let written = journal.write_all(line.as_bytes());
            written.expect("the journal must be complete, since tests count executions by it");
        }
        let count = self.counts.entry(request.into()).or_default();
        *count += 1;
        *count
    }

    /// Returns the number of executions of `request`.
    pub(crate) fn count(&self, request: &str) -> u32 {
        self.counts.get(request).copied().unwrap_or_default()
    }

    /// Returns the number of executions of all requests.
    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    /// Returns the number of distinct request ids.
    pub(crate) fn requests(&self) -> usize {
        self.counts.len()
    }

    /// Returns the number of requests that were executed more than once.
    pub(crate) fn duplicated(&self) -> usize {
        self.counts.values().filter(|count| **count > 1).count()
    }
}
