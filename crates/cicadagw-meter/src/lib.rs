//! The counters of a node: cheap to update from any duty, and read by the admin duty.

mod counts;
mod label;
mod latency;
mod meter;

pub use label::{Operation, PlatformOutcome};
pub use latency::{BOUNDS_MICROS, Histogram, Latency};
pub use meter::Meter;
