//! Decisions about control: adoption of versions, leases, the tree, endpoints, status.
//!
//! [`Core::step`] is a plain function of state, event and time; it returns effects and does no I/O.

mod adopt;
mod census;
mod charts;
mod child;
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
mod links;
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
pub use lease::{Claim, Rank};
