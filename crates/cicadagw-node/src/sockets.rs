//! The sockets of a node, bound before any duty starts so that a port in use is reported at
//! startup.

use std::net::TcpListener;

use cicadagw_settings::Settings;
use tokio_util::sync::CancellationToken;

use crate::Error;
use crate::listen::{Listen, STARTUP, Transport, bind};

/// The bound listening sockets of a node, named after their settings keys.
pub(crate) struct Sockets {
    pub(crate) announce: TcpListener,
    pub(crate) calls: TcpListener,
    pub(crate) link: TcpListener,
}

impl Sockets {
    /// Binds every listening address in `settings` except that of the admin pages. Returns `None` if
    /// `stop` was cancelled before.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Sockets`], which names every address that cannot be bound.
    pub(crate) fn bind(
        settings: &Settings,
        stop: &CancellationToken,
    ) -> Result<Option<Self>, Error> {
        let addresses = [
            Listen::new("announce", settings.announce, Transport::Tcp),
            Listen::new("calls", settings.calls, Transport::Tcp),
            Listen::new("link", settings.link, Transport::Tcp),
        ];
        let sockets = bind(addresses, STARTUP, stop)?;
        Ok(sockets.map(|[announce, calls, link]| Self {
            announce: announce.into(),
            calls: calls.into(),
            link: link.into(),
        }))
    }
}
