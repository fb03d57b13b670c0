//! Child processes of the demo, the fault tests and the benchmarks: how they are built, started,
//! signalled and observed.

mod child;
mod fleet;
mod listening;
mod locality;
mod metrics;
mod operator;
mod program;
mod scratch;
mod signal;

pub use child::Process;
pub use fleet::{Fleet, Node};
pub use listening::print_listening;
pub use locality::Locality;
pub use metrics::Metrics;
pub use operator::Operator;
pub use program::{Program, Programs};
pub use scratch::ScratchDir;
pub use signal::Signal;
