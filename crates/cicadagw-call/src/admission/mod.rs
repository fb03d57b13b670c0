//! Which call a backend server may start, and which waits or is refused.

mod core;
mod place;
mod verdict;

pub use core::Admission;
pub use place::Constraints;
pub use verdict::{Decision, Release, Ticket};
