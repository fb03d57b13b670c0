//! The sockets of a peering node, bound before any duty starts so that a port in use is reported at
//! startup.

use std::net::{TcpListener, UdpSocket};

use cicadagw_settings::{Peering, Settings};
use tokio_util::sync::CancellationToken;

use crate::Error;
use crate::listen::{Listen, STARTUP, Transport, bind};

/// The bound sockets of a peering node, named after their settings keys; `gossip` listens on
/// `link`.
pub(crate) struct Sockets {
    pub(crate) announce: TcpListener,
    pub(crate) calls: TcpListener,
    pub(crate) gossip: UdpSocket,
    pub(crate) nodes: TcpListener,
    pub(crate) ready: TcpListener,
}

impl Sockets {
    /// Binds every address in the settings except those of pages. Returns `None` if `stop` was
    /// cancelled before.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Sockets`], which names every address that cannot be bound.
    pub(crate) fn bind(
        settings: &Settings,
        peering: &Peering,
        stop: &CancellationToken,
    ) -> Result<Option<Self>, Error> {
        let addresses = [
            Listen::new("announce", settings.announce, Transport::Tcp),
            Listen::new("calls", settings.calls, Transport::Tcp),
            Listen::new("link", settings.link, Transport::Udp),
            Listen::new("nodes", peering.nodes, Transport::Tcp),
            Listen::new("ready", peering.ready, Transport::Tcp),
        ];
        let sockets = bind(addresses, STARTUP, stop)?;
        Ok(sockets.map(|[announce, calls, gossip, nodes, ready]| Self {
            announce: announce.into(),
            calls: calls.into(),
            gossip: gossip.into(),
            nodes: nodes.into(),
            ready: ready.into(),
        }))
    }
}
