//! The declared configuration: its objects and their validation, snapshots, deltas between
//! snapshots, and the head that references the active snapshot.

pub mod account;
mod check;
mod cluster;
mod config;
pub mod delta;
mod edge;
pub mod head;
mod load;
pub mod part;
pub mod policy;
mod preset;
mod render;
pub mod route;
pub mod secret;
mod snapshot;

pub use account::Account;
pub use check::{Violation, check};
pub use cluster::Cluster;
pub use config::Config;
pub use delta::Delta;
pub use edge::Edge;
pub use head::Head;
pub use load::load;
pub use policy::Policy;
pub use preset::Preset;
pub use render::render;
pub use route::Route;
pub use secret::Secret;
pub use snapshot::{Snapshot, Stamp};
