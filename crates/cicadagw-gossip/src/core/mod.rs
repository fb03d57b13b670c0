//! The gossip state machine of one node.

mod anti_entropy;
mod dissemination;
mod step;

pub use step::{Core, Setup};
