//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fmt::Display;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
    path: PathBuf,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
            path: folder.join("record.txt"),
        }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Adds a line with the current time.
    pub fn add(&self, line: impl Display) -> Duration {
        let at = self.now();
        self.lines.lock().unwrap().push((at, line.to_string()));
        at
    }

    /// Writes the lines to `record.txt`, in the order of their times.
    pub fn write(&self) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:9.4} s  {line}\n", at.as_secs_f64()))
            .collect();
        if let Err(error) = fs::write(&self.path, text) {
            eprintln!("cannot write {}: {error}", self.path.display());
        }
    }
}
