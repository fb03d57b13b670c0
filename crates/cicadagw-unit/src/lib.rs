//! Newtypes for identifiers, versions, sizes, rates and times.
//!
//! Every type implements `Display` and `FromStr`, and the two are inverses of each other.

mod digest;
mod error;
pub mod id;
mod macros;
pub mod rate;
pub mod size;
pub mod time;
mod version;

pub use digest::Digest;
pub use error::Error;
pub use version::{Era, Revision, Sequence, Term, Version};
