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
pub use listening::listening;
pub use meters::Meters;
pub use operator::Operator;
pub use place::Place;
pub use program::{Program, Programs};
pub use scratch::Scratch;
pub use signal::Signal;
pub use start::Process;
