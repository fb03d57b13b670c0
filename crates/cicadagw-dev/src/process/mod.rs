//! Processes that the demo, tests and measuring programs start and end.

mod listening;

pub use listening::listening;
