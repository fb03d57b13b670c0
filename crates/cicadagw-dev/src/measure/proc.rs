//! What the system tells of a process.

use std::{fs, io};

use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::Span;

/// The span that the system counts processor time in.
const TICK: Span = Span::new(10);

/// The size that the system counts memory in.
const KIBIBYTE: u64 = 1024;

/// How many fields stand between the name's end and the time in user mode.
const BEFORE_USER: usize = 11;

/// The resident memory of a process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Memory {
    /// All of it.
    pub resident: Bytes,
    /// The part that no file stands behind.
    pub anonymous: Bytes,
}

/// Returns the processor time from the text of `/proc/PID/stat`, in user and system mode.
pub fn processor_time(text: &str) -> Option<Span> {
    // The name stands in parentheses and may hold both spaces and parentheses.
    let (_, fields) = text.rsplit_once(')')?;
    let mut fields = fields.split_ascii_whitespace().skip(BEFORE_USER);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(TICK.times(user + system))
}

/// Returns the memory from the text of `/proc/PID/status`.
pub fn memory(text: &str) -> Option<Memory> {
    Some(Memory {
        resident: field(text, "VmRSS:")?,
        anonymous: field(text, "RssAnon:")?,
    })
}

fn field(text: &str, name: &str) -> Option<Bytes> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    let number: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(Bytes::new(number * KIBIBYTE))
}

/// Reads processor time and memory of the process `pid`.
///
/// # Errors
///
/// When the process is gone.
pub fn read(pid: u32) -> io::Result<(Span, Memory)> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let told = processor_time(&stat).zip(memory(&status));
    told.ok_or_else(|| io::Error::other(format!("process {pid} is gone")))
}
