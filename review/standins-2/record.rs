//! What was sent, answered and run, in the order in which it was seen.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Mutex;
use std::time::Instant;

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub service: String,
    pub instance: String,
}

/// The record of a case.
pub struct Record {
    begin: Instant,
    lines: Mutex<String>,
    /// The runs of each request.
    runs: Mutex<BTreeMap<String, Vec<Run>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            begin: Instant::now(),
            lines: Mutex::default(),
            runs: Mutex::default(),
        }
    }

    /// Adds a line with the time since the start.
    pub fn note(&self, text: &str) {
        let at = self.begin.elapsed().as_secs_f64();
        let mut lines = self.lines.lock().unwrap();
        writeln!(lines, "{at:9.3} s  {text}").expect("writing to a string does not fail");
    }

    /// Notes that an instance began to work on a request.
    pub fn ran(&self, id: &str, service: &str, instance: &str) {
        self.note(&format!("{instance} ({service}) runs {id}"));
        let run = Run {
            service: service.to_owned(),
            instance: instance.to_owned(),
        };
        let mut runs = self.runs.lock().unwrap();
        runs.entry(id.to_owned()).or_default().push(run);
    }

    /// Returns the runs of a request.
    pub fn runs(&self, id: &str) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap()
            .get(id)
            .cloned()
            .unwrap_or_default()
    }

    pub fn text(&self) -> String {
        self.lines.lock().unwrap().clone()
    }
}
