//! The addresses of the platform, which need no name lookup.

use std::error::Error;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;

use actix_tls::connect::Resolve;

/// Reads the host of a URL as an address. The resolver of the library does so only for IPv4, and looks
/// up anything else in a thread of its own, which may not be startable.
pub(super) struct Addresses;

impl Resolve for Addresses {
    fn lookup<'a>(
        &'a self,
        host: &'a str,
        port: u16,
    ) -> Pin<Box<dyn Future<Output = Result<Vec<SocketAddr>, Box<dyn Error>>> + 'a>> {
        Box::pin(async move {
            let ip = host.trim_start_matches('[').trim_end_matches(']');
            match ip.parse::<IpAddr>() {
                Ok(ip) => Ok(vec![SocketAddr::new(ip, port)]),
                Err(error) => Err(io::Error::other(format!("{host}: {error}")).into()),
            }
        })
    }
}
