//! HTTP/1.1 at the edges of a node, over the `httparse` codec.
//!
//! [`server`] takes many requests on one connection, runs them side by side and answers them in
//! order. [`client`] tells a request that was not sent from one that may have run, and never reuses
//! a connection that showed an answer it cannot trust. Everything runs on the thread of its caller.

pub mod body;
pub mod client;
mod encode;
mod fields;
mod framing;
pub mod life;
mod parse;
pub mod pool;
pub mod server;
mod task;

pub use body::Body;
pub use encode::request_head;
pub use fields::{Field, Fields};
pub use framing::{Decoder, Framing, Step};
pub use parse::{Error, Request, Response, request, response};
pub use pool::Pool;
pub use task::Task;
