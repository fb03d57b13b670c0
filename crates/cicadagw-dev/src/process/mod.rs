//! Processes that the demo, tests and measuring programs start and end.

mod fleet;
mod listening;
mod meters;
mod operator;
mod place;
mod program;
mod scratch;
mod signal;
mod start;

pub use fleet::{Fleet, Node};
pub use listening::print_listening;
pub use meters::Metrics;
pub use operator::Operator;
pub use place::Locality;
pub use program::{Program, Programs};
pub use scratch::ScratchDir;
pub use signal::Signal;
pub use start::Process;
