//! A caller that sends calls at a steady rate and checks every answer.

mod call;
mod load;
mod report;
mod verdict;

pub use load::Load;
pub use report::{Latency, Report};
pub use verdict::{OUTCOME_HEADER, Outcome};
