//! The decisions of one node.

mod decide;
mod exchange;
mod spread;

pub use decide::{Core, Setup};
