//! The node where the platform lists the nodes: they meet by gossip, and each follows the
//! configuration itself.

mod gossip;
mod node;
mod platform;
mod rings;
mod sockets;

pub use node::run;
