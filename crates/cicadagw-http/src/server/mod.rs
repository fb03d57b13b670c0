//! The server side of connections: accepting, reading pipelined requests and writing responses in
//! order.

mod accept;
pub mod backoff;
mod connections;
mod queue;
mod reader;
mod service;
pub mod standing;
mod writer;

pub use accept::{serve, serve_within};
pub use connections::Connections;
pub use service::{Limits, Refusal, Reply, Service};
