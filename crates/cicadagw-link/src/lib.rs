//! The links duty: carries messages between nodes over JSON-RPC.
//!
//! What the messages mean is decided by the control duty; here they are encoded, carried and counted.

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
