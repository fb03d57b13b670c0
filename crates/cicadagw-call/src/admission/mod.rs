//! Admission control: which calls a backend server may start, and which are queued or shed.

mod core;
mod decision;
mod queue;
mod wait;

pub use core::Admission;
pub use decision::{Decision, Release, Ticket};
pub use queue::Constraints;
