//! The number of file descriptors that the system allows this process.

use std::fs;

/// The line of `/proc/self/limits` with the number of open files.
const LINE: &str = "Max open files";

/// Returns the soft limit, if the system states one.
pub(crate) fn read() -> Option<u64> {
    let limits = fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix(LINE))?;
    line.split_whitespace().next()?.parse().ok()
}
