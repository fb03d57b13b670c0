//! The decisions of one node.

mod decide;
mod exchange;

pub use decide::{Core, Setup};
