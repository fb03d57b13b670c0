//! What a node's calls are decided by: the snapshot held and the endpoints known.
//!
//! The control duty publishes a view whole, by one swap of a pointer; a call loads it once, at its
//! arrival, and ends with the same one.

mod shared;
mod view;

pub use shared::Shared;
pub use view::{Endpoints, View};
