//! CPU time and memory of a process, from `/proc`.

use std::{fs, io};

use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::Span;

/// The unit of CPU times in `/proc/PID/stat`, for the usual 100 ticks per second.
const CLOCK_TICK: Span = Span::new(10);

/// The number of bytes in the unit of memory sizes in `/proc/PID/status`.
const KIBIBYTE: u64 = 1024;

/// The number of fields between the process name and the time in user mode.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// The resident memory of a process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Memory {
    /// All resident memory.
    pub resident: Bytes,
    /// The part that is not backed by a file.
    pub anonymous: Bytes,
}

/// Returns the CPU time in user and system mode together, from the text of `/proc/PID/stat`;
/// `None` if the text has another format.
pub fn cpu_time(text: &str) -> Option<Span> {
    // The process name is in parentheses, and may itself contain spaces and parentheses.
    let (_, fields) = text.rsplit_once(')')?;
    let mut fields = fields
        .split_ascii_whitespace()
        .skip(FIELDS_BEFORE_USER_TIME);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(CLOCK_TICK.times(user + system))
}

/// Returns the memory from the text of `/proc/PID/status`; `None` if the text has another format.
pub fn memory(text: &str) -> Option<Memory> {
    Some(Memory {
        resident: field(text, "VmRSS:")?,
        anonymous: field(text, "RssAnon:")?,
    })
}

/// Returns the size in the line that begins with `name`.
fn field(text: &str, name: &str) -> Option<Bytes> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    let number: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(Bytes::new(number * KIBIBYTE))
}

/// Reads the CPU time and the memory of the process `pid`.
///
/// # Errors
///
/// Fails if the process has exited, or one of its `/proc` files cannot be read or has an unexpected
/// format.
pub fn read(pid: u32) -> io::Result<(Span, Memory)> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let usage = cpu_time(&stat).zip(memory(&status));
    // The status of a zombie has no memory lines.
    usage.ok_or_else(|| {
        io::Error::other(format!(
            "process {pid} has exited, or its /proc files have an unexpected format"
        ))
    })
}
