//! An HTTP/1.1 server and client for the proxy, built on the `httparse` parser.
//!
//! [`server`] accepts pipelined requests, runs them concurrently and writes the responses in
//! request order. [`client`] distinguishes a request that was not sent from one that the server may
//! have executed, and never reuses a connection on which it saw an unexpected response. Everything
//! runs on the calling thread, in its `LocalSet`.

pub mod body;
pub mod client;
mod encode;
mod fields;
mod framing;
mod head_reader;
pub mod ledger;
pub mod lifecycle;
mod parse;
pub mod pool;
mod send;
pub mod server;
mod task;

pub use body::Body;
pub use encode::request_head;
pub use fields::{Field, Fields};
pub use framing::{Decoder, Framing, Step};
pub use ledger::Ledger;
pub use parse::{Error, Request, Response, request, response};
pub use pool::Pool;
pub use task::Task;
