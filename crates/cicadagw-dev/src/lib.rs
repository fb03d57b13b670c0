//! Test doubles of the systems around cicadagw, and the code that starts real processes for fault
//! tests, the demo and the benchmarks. The programs themselves are examples of this package.

pub mod backend;
pub mod caller;
mod connection;
pub mod http;
pub mod measure;
pub mod mesh;
pub mod platform;
pub mod process;
