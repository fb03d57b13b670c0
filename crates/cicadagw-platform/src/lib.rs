//! The client side of the platform's object API, a versioned key-value store.
//!
//! [`Store`] is the interface: [`http::Client`] implements it in production, and tests use fakes.

pub mod encoding;
mod error;
pub mod http;
pub mod key;
mod object;
mod store;
mod traffic;

pub use cicadagw_unit::{Era, Revision};
pub use error::Error;
pub use key::Key;
pub use object::{Changes, Condition, Freshness, Object, Position, Tracked};
pub use store::Store;
pub use traffic::{Traffic, Volume};
