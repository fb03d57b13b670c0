//! Acceptance of changes of configuration: check, write parts, move the head.
//!
//! [`Session`] decides, without I/O; [`run()`] carries its effects out on a platform's store.

mod candidate;
pub mod chart;
pub mod diff;
mod outcome;
mod read;
mod request;
mod run;
mod session;
mod tidy;

pub use candidate::{Base, Candidate};
pub use outcome::{Outcome, Refusal};
pub use read::{Error, StoredHead, head, load};
pub use request::{Intent, Request};
pub use run::run;
pub use session::{Effect, Event, Session};
