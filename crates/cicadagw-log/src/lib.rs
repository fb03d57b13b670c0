//! Logs as JSON lines on the standard output, each naming its node.
//!
//! Repeats are limited: a message that comes too often within a second is counted and summed up in
//! one line.

mod install;
pub mod limit;
mod lines;
mod origin;

pub use install::{Error, install, set_level};
pub use lines::Lines;
pub use origin::Origin;
