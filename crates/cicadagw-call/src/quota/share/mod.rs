//! A node's share of one quota.

mod core;
mod decision;
mod refill;

pub use core::Share;
pub use decision::{Decision, Refusal, Ticket};
