//! The HTTP client of the object API.

mod addresses;
mod client;
mod connector;
mod failure;
mod stream;

pub use client::Client;
