//! Membership, endpoint news and the way to the newest configuration, for a platform that keeps the
//! configuration whole and lists the nodes.
//!
//! Every node tells every other one what changed with it, until that is acknowledged; what was lost
//! all the same is made up for by digests that pairs of nodes exchange. A node that cannot reach the
//! platform gets the configuration from another node. Everything here is a plain function of state,
//! event and time.

mod core;
mod event;
mod followers;
mod member;
pub mod message;
mod outbound;
mod part;
mod register;
pub mod source;
mod table;

pub use core::{Core, Setup};
pub use event::{Call, Effect, Event, Notice, Reply};
pub use member::{Backend, Member, Stamp};
pub use message::Message;
pub use part::Part;
pub use table::Table;
