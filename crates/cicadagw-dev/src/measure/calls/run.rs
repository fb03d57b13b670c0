//! The parts of the measurement, in turn.

use std::io;
use std::str::FromStr;

use cicadagw_unit::time::Span;

use super::figures::Figures;
use super::{change, latency, memory, overload};

/// How much of the capacity the higher load takes, in percent.
const HIGH: u64 = 70;

/// How long each load goes on.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// The span of one load.
    pub span: Span,
}

/// A part of the measurement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// Added latency and capacity.
    Latency,
    /// Goodput under overload.
    Overload,
    /// Errors and doubles during restarts and changes.
    Changes,
    /// Memory.
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
            other => Err(format!("there is no part {other}")),
        }
    }
}

/// Measures `parts`.
///
/// # Errors
///
/// When a process cannot be started, or does not do what it is there for.
pub fn run(parts: &[Part], scale: Scale) -> io::Result<Figures> {
    let mut figures = Figures::default();
    for part in parts {
        match part {
            Part::Latency => latencies(&mut figures, scale)?,
            Part::Overload => figures.overload = Some(overload::measure(scale)?),
            Part::Changes => figures.changes = Some(change::measure()?),
            Part::Memory => figures.memory = Some(memory::measure()?),
        }
    }
    Ok(figures)
}

fn latencies(figures: &mut Figures, scale: Scale) -> io::Result<()> {
    let bench = latency::bench()?;
    anstream::eprintln!("latency: light load");
    let light = latency::added(&bench, scale, 0)?;
    let capacity = latency::capacity(&bench, scale)?;
    let high = u32::try_from(capacity.calls_per_second * HIGH / 100).unwrap_or(u32::MAX);
    anstream::eprintln!("latency: {high} calls a second in the background");
    let high = latency::added(&bench, scale, high)?;
    figures.added = Some(vec![light, high]);
    figures.capacity = Some(capacity);
    Ok(())
}
