//! The server side of connections: accepting, reading pipelined requests and writing responses in
//! order.

mod accept;
mod queue;
mod reader;
mod service;
mod writer;

pub use accept::serve;
pub use service::{Limits, Refusal, Reply, Service};
