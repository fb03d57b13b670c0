//! Membership, endpoint updates and configuration distribution by gossip, for a platform that
//! stores the configuration as one object and lists the nodes.
//!
//! Every node sends changes of its own record to its peers until they acknowledge them; digests
//! exchanged between random pairs of nodes repair what is lost nevertheless. A node that cannot
//! reach the platform fetches the configuration from another node.
//!
//! [`Core`] is a pure function of state, event and time, and does no I/O. The gossip duty (a duty
//! is a thread with one task) feeds it events and carries out its effects.

mod core;
mod event;
mod freshness;
mod hash;
mod member;
pub mod message;
mod outbound;
pub mod owners;
mod partition;
mod registration;
mod rollouts;
pub mod source;
mod table;
mod watchers;

pub use core::{Core, Setup};
pub use event::{Call, Effect, Event, Inquiry, Notice, Orders, Reply};
pub use member::{Backend, Member, Stamp};
pub use message::Message;
pub use partition::Partition;
pub use table::Table;
