//! The node: its duties, each on a thread of its own, joined by bounded rings.

mod clock;
mod control;
mod duty;
mod error;
mod node;
mod platform;
mod rings;
mod sockets;

pub use error::Error;
pub use node::run;
