//! The executed requests, as recorded by the backend servers of a mesh.

use std::collections::HashMap;
use std::io;
use std::path::PathBuf;

use compact_str::CompactString;

/// The number of executions of each request, summed over all backend servers.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    counts: HashMap<CompactString, u32>,
}

impl Journal {
    /// Reads the journals of backend servers at `paths`.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read.
    pub fn read(paths: &[PathBuf]) -> io::Result<Self> {
        let mut journal = Self::default();
        for path in paths {
            for request in std::fs::read_to_string(path)?.lines() {
                *journal.counts.entry(request.into()).or_default() += 1;
            }
        }
        Ok(journal)
    }

    /// Returns the ids of the requests that were executed more than once.
    pub fn duplicated(&self) -> Vec<&str> {
        let duplicated = self.counts.iter().filter(|(_, count)| **count > 1);
        duplicated.map(|(request, _)| request.as_str()).collect()
    }

    /// Returns those of `requests` that were executed.
    pub fn executed<'r>(&self, requests: &'r [CompactString]) -> Vec<&'r str> {
        let executed = requests.iter().filter(|id| self.counts.contains_key(*id));
        executed.map(CompactString::as_str).collect()
    }

    /// Returns the number of distinct requests that were executed.
    pub fn requests(&self) -> u64 {
        self.counts.len() as u64
    }
}
