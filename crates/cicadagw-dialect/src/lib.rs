//! Dialects: the protocols that callers and backend servers speak with a node.
//!
//! [`Dialect`] is the edge at which header names are defined and registration requests are decoded.
//! [`Native`] is the product's own dialect; an adapter for a platform provides another.

mod dialect;
mod header_names;
mod native;

pub use dialect::{Acknowledgement, DecodeError, Dialect, Registration};
pub use header_names::HeaderNames;
pub use native::Native;
