//! Runs the parts of the measurement one after the other.

use std::io;
use std::str::FromStr;

use cicadagw_unit::time::Span;

use super::figures::Figures;
use super::{change, latency, memory, overload};

/// The high background load, in percent of the capacity.
const HIGH_LOAD_PERCENT: u64 = 70;

/// The scale of the measurement.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// The time for which calls of one load are sent.
    pub span: Span,
}

/// A part of the measurement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// Added latency and capacity.
    Latency,
    /// Goodput under overload.
    Overload,
    /// Failed and duplicated calls during restarts and changes.
    Changes,
    /// Memory of calls in flight and of large bodies.
    Memory,
}

impl Part {
    /// All parts, in the order in which they run.
    pub const ALL: [Self; 4] = [Self::Latency, Self::Overload, Self::Changes, Self::Memory];
}

impl FromStr for Part {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "latency" => Ok(Self::Latency),
            "overload" => Ok(Self::Overload),
            "changes" => Ok(Self::Changes),
            "memory" => Ok(Self::Memory),
            other => Err(format!(
                "expected latency, overload, changes or memory, found {other}"
            )),
        }
    }
}

/// Measures `parts` in the given order; calls of each load are sent for [`Scale::span`].
///
/// # Errors
///
/// Fails if a process cannot be started or read, or a measurement cannot be completed.
pub fn run(parts: &[Part], scale: Scale) -> io::Result<Figures> {
    let mut figures = Figures::default();
    for part in parts {
        match part {
            Part::Latency => measure_latency(&mut figures, scale)?,
            Part::Overload => figures.overload = Some(overload::measure(scale)?),
            Part::Changes => figures.changes = Some(change::measure()?),
            Part::Memory => figures.memory = Some(memory::measure()?),
        }
    }
    Ok(figures)
}

/// Measures the added latency under light load, the capacity, and the added latency under high load.
fn measure_latency(figures: &mut Figures, scale: Scale) -> io::Result<()> {
    let testbed = latency::start_testbed()?;
    anstream::eprintln!("latency: light load");
    let light = latency::added(&testbed, scale, 0)?;
    let capacity = latency::capacity(&testbed, scale)?;
    let high =
        u32::try_from(capacity.calls_per_second * HIGH_LOAD_PERCENT / 100).unwrap_or(u32::MAX);
    anstream::eprintln!("latency: {high} background calls per second");
    let high = latency::added(&testbed, scale, high)?;
    figures.added = Some(vec![light, high]);
    figures.capacity = Some(capacity);
    Ok(())
}
