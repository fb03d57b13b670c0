//! A load generator: sends calls at a constant rate and checks every response.

mod call;
mod load;
mod outcome;
mod report;

pub use load::Load;
pub use outcome::{OUTCOME_HEADER, Outcome};
pub use report::{Latency, Report};
