//! The object API over HTTP.

mod answer;
mod client;
mod failure;
mod path;
mod tag;

pub use client::Client;
pub use path::{KEYS, OBJECTS, keys, object, watch};
pub use tag::{format, parse};
