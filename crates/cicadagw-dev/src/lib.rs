//! Stand-ins of the systems that cicadagw serves; the demo and the measuring programs are examples.

pub mod backend;
pub mod caller;
mod connection;
pub mod http;
pub mod measure;
pub mod mesh;
pub mod platform;
pub mod process;
