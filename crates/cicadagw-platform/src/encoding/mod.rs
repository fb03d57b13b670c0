//! How calls and their answers stand on the wire.

mod call;
mod edge;
mod native;
pub mod path;
pub mod tag;

pub use call::{Effect, Method, Request, Response};
pub use edge::Encoding;
pub use native::Native;
