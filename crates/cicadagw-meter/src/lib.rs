//! Counters of a node, cheap to write from any duty and read by the admin duty.

mod counts;
mod label;
mod latency;
mod meter;
mod reading;

pub use label::{Kind, Operation, Outcome, Reach, Success};
pub use latency::{BOUNDS_MICROS, Latency};
pub use meter::{InFlight, Meter, Readiness};
pub use reading::{Reading, Ring};
