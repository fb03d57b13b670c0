//! The HTTP client of the object API.

mod client;
mod failure;

pub use client::Client;
