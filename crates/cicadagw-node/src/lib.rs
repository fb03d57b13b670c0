//! The node: its duties, each on a thread of its own, joined by bounded rings.

mod adapter;
mod clock;
mod control;
mod duty;
mod error;
mod node;
pub mod peering;
mod platform;
mod rings;
mod sockets;

pub use adapter::Adapter;
pub use error::Error;
pub use node::run;
