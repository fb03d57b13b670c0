//! How calls and their answers stand on the wire.

mod call;
mod edge;
mod native;
pub mod path;
pub mod tag;

pub use call::{Answer, Call, Effect, Method};
pub use edge::Encoding;
pub use native::Native;
