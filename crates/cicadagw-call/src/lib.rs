//! Decisions about calls: where a call goes, which endpoint serves it, when it may start, and
//! whether it is tried again.
//!
//! Everything here is a plain function of state, event and time; the calls duty carries it out.

pub mod admission;
pub mod attempt;
mod average;
pub mod balancer;
mod budget;
pub mod lifecycle;
mod load;
mod outcome;
pub mod pacing;
pub mod refusal;
pub mod route;

pub use admission::Admission;
pub use attempt::Attempts;
pub use budget::Budget;
pub use lifecycle::Registry;
pub use load::Load;
pub use outcome::{Outcome, Reason};
