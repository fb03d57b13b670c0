//! Stand-ins of the systems that cicadagw serves; the demo and the measuring programs are examples.

mod connection;
pub mod platform;
