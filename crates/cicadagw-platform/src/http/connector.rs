//! Establishment of connections on which silence and invalid responses are noticed.

use std::time::Duration;

use actix_service::ServiceExt;
use actix_tls::connect::{Connection, Connector as TcpConnector, Resolver};
use awc::http::Uri;
use cicadagw_http::pool::release_port;
use cicadagw_unit::time::Span;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use super::addresses::Addresses;
use super::stream::Stream;

/// Idle time after which the other end is probed, and the interval between two probes. A watch is
/// idle until there is a change, and a connection that fell silent must be noticed well before
/// the 3 s within which a change must be in force.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// How long data or a probe may stay unacknowledged before the connection counts as lost. The kernel
/// of the other end acknowledges them, so a slow answer is not cut off.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(1);

/// Creates an HTTP client with a pool of its own, so that it uses no connection of an earlier
/// client.
pub(crate) fn new_http_client(agent: &str, connect_timeout: Span) -> awc::Client {
    let tcp = TcpConnector::new(Resolver::custom(Addresses))
        .service()
        .map(|connection: Connection<Uri, TcpStream>| {
            if let Err(error) = notice_silence(connection.io_ref()) {
                log::warn!(error:%; "failed to set the keep-alive options of a connection; silence is noticed only by the timeouts of calls");
            }
            release_port(connection.io_ref());
            let (tcp, connection) = connection.replace_io(());
            connection.replace_io(Stream::new(tcp)).1
        });
    let connector = awc::Connector::new()
        .connector(tcp)
        .timeout(connect_timeout.into());
    awc::Client::builder()
        .connector(connector)
        .add_default_header((awc::http::header::USER_AGENT, agent))
        .disable_redirects()
        .finish()
}

/// Makes the kernel report an error on a connection whose other end has fallen silent.
fn notice_silence(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(1);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
}
