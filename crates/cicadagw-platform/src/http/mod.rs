//! The object API over HTTP.

mod client;
mod failure;

pub use client::Client;
