//! Processor time and memory of a process, as the kernel counts them.

use std::{fs, io};

use cicadagw_unit::size::Bytes;

/// The kernel counts processor time in hundredths of a second.
const TICK_US: u64 = 10_000;

/// Returns the processor time that the process `pid` has had, in microseconds.
pub(crate) fn processor_us(pid: u32) -> io::Result<u64> {
    /// Where the ticks as user and as system stand, counted after the name of the program.
    const TICKS: std::ops::Range<usize> = 11..13;
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, rest) = text.rsplit_once(')').ok_or(io::ErrorKind::InvalidData)?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = fields.get(TICKS).ok_or(io::ErrorKind::InvalidData)?;
    let ticks = ticks.iter().filter_map(|text| text.parse::<u64>().ok());
    Ok(ticks.sum::<u64>() * TICK_US)
}

/// Returns the memory that the process `pid` holds now.
pub(crate) fn resident(pid: u32) -> io::Result<Bytes> {
    field(pid, "VmRSS:")
}

/// Returns the most memory that the process `pid` has held.
pub(crate) fn peak(pid: u32) -> io::Result<Bytes> {
    field(pid, "VmHWM:")
}

fn field(pid: u32, name: &str) -> io::Result<Bytes> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    let kib = kib.ok_or(io::ErrorKind::InvalidData)?;
    Ok(Bytes::new(kib << 10))
}
