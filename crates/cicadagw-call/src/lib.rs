//! Decisions about calls: routing, load balancing, admission and retries.
//!
//! Everything here is a plain function of state, event and time and does no I/O. The calls duty,
//! the thread that serves calls, executes the decisions.

pub mod access;
pub mod admission;
mod announcement;
pub mod attempt;
mod average;
pub mod balancer;
mod budget;
mod bulkhead;
mod gone;
pub mod lifecycle;
pub mod limit;
mod load;
mod outcome;
pub mod pacing;
pub mod quota;
pub mod refusal;
mod returns;
pub mod route;

pub use access::Access;
pub use admission::Admission;
pub use attempt::Attempts;
pub use budget::Budget;
pub use bulkhead::Bulkhead;
pub use lifecycle::Registry;
pub use load::Load;
pub use outcome::{Outcome, Reason};
pub use returns::Returns;
