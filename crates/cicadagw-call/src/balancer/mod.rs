//! Load balancing: the choice of the endpoint for a call.

mod core;
mod cost;
mod decay;
mod endpoint;
mod rollout;
mod summary;
mod utilization;

pub use core::{Balancer, Locality, Signal};
pub use cost::Demand;
pub use summary::Summary;
