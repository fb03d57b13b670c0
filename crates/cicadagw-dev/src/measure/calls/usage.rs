//! CPU time and memory of a process, from `/proc`.

use std::{fs, io};

use cicadagw_unit::size::Bytes;

/// The unit of CPU times in `/proc/PID/stat`, a hundredth of a second, in microseconds.
const CLOCK_TICK_US: u64 = 10_000;

/// Returns the CPU time of the process `pid` in user and system mode, in microseconds.
pub(crate) fn cpu_us(pid: u32) -> io::Result<u64> {
    /// The positions of the ticks in user and in system mode, counted after the process name.
    const TICK_FIELDS: std::ops::Range<usize> = 11..13;
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, rest) = text.rsplit_once(')').ok_or(io::ErrorKind::InvalidData)?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = fields.get(TICK_FIELDS).ok_or(io::ErrorKind::InvalidData)?;
    let ticks = ticks.iter().filter_map(|text| text.parse::<u64>().ok());
    Ok(ticks.sum::<u64>() * CLOCK_TICK_US)
}

/// Returns the resident memory of the process `pid`.
pub(crate) fn resident(pid: u32) -> io::Result<Bytes> {
    field(pid, "VmRSS:")
}

/// Returns the peak resident memory of the process `pid`.
pub(crate) fn peak(pid: u32) -> io::Result<Bytes> {
    field(pid, "VmHWM:")
}

/// Returns the size in the line of `/proc/PID/status` that begins with `name`.
fn field(pid: u32, name: &str) -> io::Result<Bytes> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    let kib = kib.ok_or(io::ErrorKind::InvalidData)?;
    Ok(Bytes::new(kib << 10))
}
