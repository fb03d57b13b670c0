//! How a stand-in tells its starter that it listens.

use std::net::SocketAddr;

/// What the line on standard output begins with; the address follows.
pub(crate) const PREFIX: &str = "listening on ";

/// Tells the starter, on standard output, that this process listens on `address`.
pub fn print_listening(address: SocketAddr) {
    anstream::println!("{PREFIX}{address}");
}
