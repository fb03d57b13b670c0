//! What a call costs, and what becomes of calls under overload and change.

mod bench;
mod change;
mod figures;
mod latency;
mod memory;
mod overload;
mod run;
mod traffic;
mod usage;

pub use figures::Figures;
pub use run::{Part, Scale, run};
