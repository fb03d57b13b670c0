//! What a backend server has seen.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;

use compact_str::CompactString;

/// What a backend server has seen.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stats {
    /// Requests that ran more than once.
    #[serde(rename = "doubled")]
    pub duplicated: usize,
    /// How many times requests ran.
    pub executions: u64,
    /// Calls that are here now.
    pub in_flight: u32,
    /// The most calls that were here at once.
    pub in_flight_max: u32,
    /// Requests that ran at least once.
    pub requests: usize,
    /// Calls that were refused and not run.
    pub shed: u64,
}

/// How often each request ran.
#[derive(Debug, Default)]
pub(crate) struct Executions {
    counts: HashMap<CompactString, u32>,
    journal: Option<File>,
    total: u64,
}

impl Executions {
    /// Creates counts that also go to `journal`.
    pub(crate) fn new(journal: Option<File>) -> Self {
        Self {
            journal,
            ..Self::default()
        }
    }

    /// Counts one execution of `request`, and returns how many there were; a request without an id
    /// counts in the total alone.
    pub(crate) fn count(&mut self, request: &str) -> u32 {
        self.total += 1;
        if request.is_empty() {
            return 1;
        }
        if let Some(journal) = &mut self.journal {
            let line = format!("{request}\n");
            let written = journal.write_all(line.as_bytes());
            written.expect("a stand-in that cannot count is of no use");
        }
        let count = self.counts.entry(request.into()).or_default();
        *count += 1;
        *count
    }

    /// Returns how often `request` ran.
    pub(crate) fn of(&self, request: &str) -> u32 {
        self.counts.get(request).copied().unwrap_or_default()
    }

    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    pub(crate) fn requests(&self) -> usize {
        self.counts.len()
    }

    pub(crate) fn doubled(&self) -> usize {
        self.counts.values().filter(|count| **count > 1).count()
    }
}
