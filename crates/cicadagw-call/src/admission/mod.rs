//! Admission control: which calls a backend server may start, and which are queued or shed.

mod core;
mod decision;
mod order;
mod queue;
mod running;
mod shares;
mod shed;
mod turnout;
mod wait;
mod work;

pub use core::Admission;
pub use decision::{Decision, Release, Ticket};
pub use queue::Constraints;
