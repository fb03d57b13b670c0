//! The links duty: carries messages between the nodes of the distribution tree over JSON-RPC.
//!
//! A link is a WebSocket connection from a child to its parent. The control duty decides what is
//! sent and what a received message means; this crate encodes, carries and counts the messages.
//! Each link is identified by a `LinkId`, called `session` in fields and logs.

mod child;
pub mod codec;
mod duty;
mod links;
mod method;
mod parent;
mod setup;
mod socket;
pub mod traffic;

pub use duty::run;
pub use setup::{Limits, Setup};
pub use traffic::Traffic;
