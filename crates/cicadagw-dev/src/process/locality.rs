//! Localities and addresses of nodes.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};

use cicadagw_unit::id;

/// The region and failure domain of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Locality {
    /// The region.
    pub region: id::Region,
    /// The failure domain.
    pub domain: id::Domain,
}

/// The listen addresses of a node, named as in its settings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    pub(crate) admin: SocketAddr,
    pub(crate) announce: SocketAddr,
    pub(crate) calls: SocketAddr,
    pub(crate) link: SocketAddr,
}

/// The number of loopback addresses that this process has allocated to nodes.
static ALLOCATED_HOSTS: AtomicUsize = AtomicUsize::new(0);

/// Allocates a loopback address for the host of a node; distinct for the first 60,000 nodes of this
/// process.
pub(crate) fn next_host() -> IpAddr {
    /// The third octet of the first address.
    const FIRST_THIRD_OCTET: usize = 10;
    /// The number of addresses per third octet.
    const HOSTS_PER_THIRD_OCTET: usize = 250;
    /// The number of values of the third octet.
    const THIRD_OCTETS: usize = 240;
    let index = ALLOCATED_HOSTS.fetch_add(1, Ordering::Relaxed);
    let octet = |value: usize| u8::try_from(value).unwrap_or(u8::MAX);
    let third = octet(FIRST_THIRD_OCTET + index / HOSTS_PER_THIRD_OCTET % THIRD_OCTETS);
    let fourth = octet(1 + index % HOSTS_PER_THIRD_OCTET);
    IpAddr::V4(Ipv4Addr::new(127, 0, third, fourth))
}

impl Addresses {
    /// Picks free ports of `host`.
    pub(crate) fn allocate(host: IpAddr) -> io::Result<Self> {
        // All listeners stay bound until every port is picked, so that the ports differ.
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
