//! Acceptance of configuration changes: validate the change, write its parts, update the head.
//!
//! [`Session`] makes the decisions without I/O; [`apply_change()`] executes its effects on a
//! platform store.

mod apply;
mod candidate;
pub mod chart;
pub mod diff;
mod outcome;
mod parts;
mod read;
mod request;
mod session;

pub use apply::apply_change;
pub use candidate::{Candidate, Snapshots};
pub use outcome::{Outcome, Refusal};
pub use read::{Error, StoredHead, load_snapshot, read_head};
pub use request::{Intent, Request};
pub use session::{Effect, Event, Session};
