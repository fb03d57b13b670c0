//! The HTTP client of the object API.

mod client;
mod connector;
mod failure;

pub use client::Client;
