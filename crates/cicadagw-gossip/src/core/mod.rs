//! The gossip state machine of one node.

mod anti_entropy;
mod configuration;
mod dissemination;
mod quota;
mod rollouts;
mod step;

pub use step::{Core, Setup};
