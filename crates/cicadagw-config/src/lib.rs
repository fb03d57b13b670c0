//! The declared configuration: its objects, their checks, snapshots of it, deltas between
//! snapshots, and the head that names the one in force.

mod check;
mod cluster;
mod config;
mod declared;
pub mod delta;
mod edge;
pub mod head;
mod load;
pub mod part;
pub mod policy;
mod preset;
pub mod route;
pub mod secret;
mod snapshot;

pub use check::{Violation, check};
pub use cluster::Cluster;
pub use config::Config;
pub use declared::render;
pub use delta::Delta;
pub use edge::Edge;
pub use head::Head;
pub use load::load;
pub use policy::Policy;
pub use preset::Preset;
pub use route::Route;
pub use secret::Secret;
pub use snapshot::{Snapshot, Stamp};
