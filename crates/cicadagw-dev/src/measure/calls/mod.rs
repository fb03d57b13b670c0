//! `measure-calls`: measures what hops add to a call, capacity, overload, the outcomes of calls during
//! restarts and changes, and memory.

mod change;
mod figures;
mod latency;
mod memory;
mod overload;
mod run;
mod testbed;
mod traffic;
mod usage;

pub use figures::Figures;
pub use run::{Part, Scale, run};
