//! Acceptance of configuration changes: validate the change, write its parts, update the head.
//!
//! [`Session`] makes the decisions without I/O; [`run()`] executes its effects on a platform
//! store.

mod candidate;
pub mod chart;
pub mod diff;
mod outcome;
mod parts;
mod read;
mod request;
mod run;
mod session;

pub use candidate::{Candidate, Snapshots};
pub use outcome::{Outcome, Refusal};
pub use read::{Error, StoredHead, head, load};
pub use request::{Intent, Request};
pub use run::run;
pub use session::{Effect, Event, Session};
