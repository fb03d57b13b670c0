//! Encodings of the object API.

mod interface;
mod message;
mod native;
pub mod path;
pub mod tag;

pub use interface::Encoding;
pub use message::{Effect, Listing, Method, Request, Response};
pub use native::Native;
