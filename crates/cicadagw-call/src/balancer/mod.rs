//! Load balancing: the choice of the endpoint for a call.

mod core;
mod cost;
mod decay;
mod endpoint;
mod utilization;

pub use core::{Balancer, Locality, Signal, Summary};
pub use cost::Demand;
