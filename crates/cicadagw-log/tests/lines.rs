//! Lines are JSON, name their node, and are limited when they repeat.

use std::io::Write;
use std::sync::{Arc, Mutex};

use cicadagw_log::limit::BURST;
use cicadagw_log::{Lines, Origin};
use logforth::core::Logger;
use logforth::record::{Level, Record};
use serde_json::Value;

/// A writer that keeps everything in memory.
#[derive(Clone, Default)]
struct Memory(Arc<Mutex<Vec<u8>>>);

impl Write for Memory {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Memory {
    fn lines(&self) -> Vec<Value> {
        let bytes = self.0.lock().unwrap().clone();
        let text = String::from_utf8(bytes).unwrap();
        text.lines()
            .map(|line| serde_json::from_str(line).unwrap())
            .collect()
    }
}

fn logger(memory: &Memory) -> Logger {
    let node = "kochi-a-1".parse().unwrap();
    let lines = Lines::new(memory.clone(), &node);
    logforth::core::builder()
        .dispatch(|dispatch| dispatch.filter(Origin).append(lines))
        .build()
}

fn log(logger: &Logger, level: Level) {
    log_from(logger, "cicadagw_control::core", level);
}

fn log_from(logger: &Logger, target: &'static str, level: Level) {
    let record = Record::builder()
        .level(level)
        .target(target)
        .payload(format_args!("adopted a snapshot"))
        .build();
    logger.log(&record);
}

#[test]
fn a_line_holds_its_level_message_and_node() {
    let memory = Memory::default();

    log(&logger(&memory), Level::Info);

    let lines = memory.lines();
    assert_eq!(lines[0]["level"], "INFO");
    assert_eq!(lines[0]["message"], "adopted a snapshot");
    assert_eq!(lines[0]["diags"]["node"], "kochi-a-1");
}

#[test]
fn suppressed_lines_are_reported_by_a_flush_at_the_latest() {
    let memory = Memory::default();
    let logger = logger(&memory);
    // However the lines are spread over windows, each is either written or reported as suppressed.
    let count = 3 * BURST;

    for _ in 0..count {
        log(&logger, Level::Info);
    }
    logger.flush();

    let lines = memory.lines();
    let suppressed: u64 = lines
        .iter()
        .filter_map(|line| line["kvs"]["repeats"].as_u64())
        .sum();
    let written = lines
        .iter()
        .filter(|line| line["message"] == "adopted a snapshot")
        .count();
    assert!(
        lines
            .iter()
            .all(|line| line["diags"]["node"] == "kochi-a-1")
    );
    assert_eq!(suppressed + written as u64, u64::from(count));
}

#[test]
fn lines_of_libraries_below_warnings_are_dropped() {
    let memory = Memory::default();
    let logger = logger(&memory);

    log_from(&logger, "actix_server::worker", Level::Info);
    log_from(&logger, "actix_server::worker", Level::Warn);

    let lines = memory.lines();
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0]["level"], "WARN");
}
