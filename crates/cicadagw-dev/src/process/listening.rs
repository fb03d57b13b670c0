//! The line by which a test server reports its listen address to its parent process.

use std::net::SocketAddr;

/// The beginning of the line on standard output; the address follows.
pub(crate) const PREFIX: &str = "listening on ";

/// Prints to standard output that this process listens on `address`; [`Process::start_server`]
/// reads it.
///
/// [`Process::start_server`]: super::Process::start_server
pub fn print_listening(address: SocketAddr) {
    anstream::println!("{PREFIX}{address}");
}
