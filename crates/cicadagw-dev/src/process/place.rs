//! Where nodes stand.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};

use cicadagw_unit::id;

/// The region and the failure domain of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Locality {
    /// The region.
    pub region: id::Region,
    /// The failure domain.
    pub domain: id::Domain,
}

/// The addresses of a node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    pub(crate) admin: SocketAddr,
    pub(crate) announce: SocketAddr,
    pub(crate) calls: SocketAddr,
    pub(crate) link: SocketAddr,
}

/// How many nodes were given an address by this process.
static HOSTS: AtomicUsize = AtomicUsize::new(0);

/// Returns a loopback address that no other node of this process has.
pub(crate) fn host() -> IpAddr {
    /// The third number of the first node's address.
    const FIRST: usize = 10;
    /// How many nodes share the third number.
    const ROW: usize = 250;
    /// How many third numbers there are.
    const ROWS: usize = 240;
    let index = HOSTS.fetch_add(1, Ordering::Relaxed);
    let number = |number: usize| u8::try_from(number).unwrap_or(u8::MAX);
    let third = number(FIRST + index / ROW % ROWS);
    let fourth = number(1 + index % ROW);
    IpAddr::V4(Ipv4Addr::new(127, 0, third, fourth))
}

impl Addresses {
    /// Finds free ports at `host`.
    pub(crate) fn free(host: IpAddr) -> io::Result<Self> {
        // All listeners live until all ports are found, so that the ports differ.
        let listen = || TcpListener::bind((host, 0));
        let listeners = [listen()?, listen()?, listen()?, listen()?];
        let [admin, announce, calls, link] = listeners.each_ref().map(TcpListener::local_addr);
        Ok(Self {
            admin: admin?,
            announce: announce?,
            calls: calls?,
            link: link?,
        })
    }
}
