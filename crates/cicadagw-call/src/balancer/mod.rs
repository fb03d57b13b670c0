//! Load balancing: the choice of the endpoint for a call.

mod core;
mod decay;
mod endpoint;

pub use core::{Balancer, Locality, Signal, Summary};
