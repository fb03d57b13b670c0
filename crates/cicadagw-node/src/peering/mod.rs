//! A node on a platform that lists the nodes: they exchange their membership by gossip, and each of
//! them watches the configuration itself.

mod gossip;
mod node;
mod platform;
mod rings;
mod sockets;

pub use node::run;
