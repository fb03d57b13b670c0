//! The node process: its duties, each on a thread of its own, joined by bounded rings.
//!
//! A duty is one of the concurrent jobs of a node. All nodes have the calls duty (the proxy), the
//! platform duty (calls to the platform's object store) and the admin duty (health, dump and
//! metrics). [`run()`] adds the control duty, which keeps the node in the distribution tree, and
//! the links duty, which carries its messages. [`peering::run`] adds the gossip duty instead.

mod adapter;
mod clock;
mod control;
mod duty;
mod end;
mod error;
pub mod listen;
mod node;
pub mod peering;
mod platform;
pub mod retry;
mod rings;
mod sockets;

pub use adapter::Adapter;
pub use duty::Duty;
pub use end::{Cause, End};
pub use error::Error;
pub use node::run;
