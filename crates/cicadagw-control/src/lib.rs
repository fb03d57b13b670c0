//! Control decisions of a node: election of roots, the distribution tree, adoption of snapshots,
//! endpoint updates, and status.
//!
//! [`Core::step`] is a pure function of state, event and time; it returns effects and does no I/O.
//! The control duty (a duty is a thread with one task) feeds it events, and the other duties of the
//! node carry out the effects.

mod adopt;
mod census;
mod charts;
mod child;
mod children;
mod core;
mod directory;
mod dump;
mod effect;
mod election;
mod endpoints;
mod event;
mod fetch;
mod heartbeat;
mod identity;
mod lease;
pub mod platform;
mod root;
mod status;
mod sync;
mod tree;
mod uplink;

pub use core::Core;
pub use dump::Dump;
pub use effect::{Effect, Notice};
pub use event::Event;
pub use identity::Identity;
pub use lease::{Claim, Scope};
