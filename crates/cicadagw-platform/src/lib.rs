//! The platform's object API.
//!
//! [`Store`] is the edge: the HTTP client implements it for real processes, and tests pass fakes.

pub mod encoding;
mod error;
pub mod http;
pub mod key;
mod object;
mod store;
mod traffic;

pub use error::Error;
pub use key::Key;
pub use object::{Condition, Freshness, Object, Position, Revision};
pub use store::Store;
pub use traffic::{Traffic, Volume};
