//! The gossip state machine of one node.

mod anti_entropy;
mod configuration;
mod confirmation;
mod dissemination;
mod lead;
mod quota;
mod reply;
mod rollouts;
mod step;

pub use step::{Core, Setup};
