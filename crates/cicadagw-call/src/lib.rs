//! Decisions about calls: where a call goes, which endpoint serves it, when it may start, and
//! whether it is tried again.
//!
//! Everything here is a plain function of state, event and time; the calls duty carries it out.

pub mod admission;
pub mod attempt;
mod average;
mod budget;
pub mod choice;
pub mod life;
mod load;
mod outcome;
pub mod pace;
pub mod refusal;
pub mod route;

pub use admission::Admission;
pub use attempt::Attempt;
pub use budget::Budget;
pub use life::Registry;
pub use load::Load;
pub use outcome::{Outcome, Reason};
