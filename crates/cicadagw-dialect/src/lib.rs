//! What callers and backend servers say to a node.
//!
//! [`Dialect`] is the edge: it names the headers and decodes announcements. [`Native`] is the
//! product's own; an adapter to a platform brings another.

mod dialect;
mod names;
mod native;

pub use dialect::{Acknowledgement, DecodeError, Dialect, Registration};
pub use names::HeaderNames;
pub use native::Native;
