//! What ran, as the backend servers of a mesh wrote it down.

use std::collections::HashMap;
use std::io;
use std::path::PathBuf;

use compact_str::CompactString;

/// How often each request ran at all backend servers together.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    counts: HashMap<CompactString, u32>,
}

impl Journal {
    /// Reads what the backend servers wrote to the files at `paths`.
    ///
    /// # Errors
    ///
    /// When a file cannot be read.
    pub fn read(paths: &[PathBuf]) -> io::Result<Self> {
        let mut journal = Self::default();
        for path in paths {
            for request in std::fs::read_to_string(path)?.lines() {
                *journal.counts.entry(request.into()).or_default() += 1;
            }
        }
        Ok(journal)
    }

    /// Returns the requests that ran more than once.
    pub fn duplicated(&self) -> Vec<&str> {
        let doubled = self.counts.iter().filter(|(_, count)| **count > 1);
        doubled.map(|(request, _)| request.as_str()).collect()
    }

    /// Returns those of `requests` that ran.
    pub fn executed<'r>(&self, requests: &'r [CompactString]) -> Vec<&'r str> {
        let ran = requests.iter().filter(|id| self.counts.contains_key(*id));
        ran.map(CompactString::as_str).collect()
    }

    /// Returns how many requests ran.
    pub fn requests(&self) -> u64 {
        self.counts.len() as u64
    }
}
