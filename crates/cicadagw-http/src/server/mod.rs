//! The server's side of connections.

mod accept;
mod queue;
mod reader;
mod service;
mod writer;

pub use accept::serve;
pub use service::{Limits, Refusal, Reply, Service};
