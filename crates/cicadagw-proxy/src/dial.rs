//! Connections to nodes and backend servers.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use actix_web::dev::Service;
use actix_web::rt::net::{ActixStream, Ready, TcpStream};
use awc::http::Uri;
use awc::{Client, ClientBuilder, Connector};
use cicadagw_unit::size::Slots;
use futures_util::future::LocalBoxFuture;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// How long a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an idle connection is kept; well below what servers commonly keep theirs for, so that
/// it is seldom the server that closes.
const IDLE_MAX: Duration = Duration::from_secs(4);

/// How long a connection is used at the most.
const LIFETIME: Duration = Duration::from_mins(10);

/// Returns a client that holds at most `connections` connections. It follows no redirects, retries
/// nothing, and leaves bodies as they are.
pub(crate) fn client(connections: Slots) -> Client {
    let connector = Connector::new()
        .connector(Dialer)
        .timeout(CONNECT_TIMEOUT)
        .limit(connections.get().max(1) as usize)
        .conn_keep_alive(IDLE_MAX)
        .conn_lifetime(LIFETIME);
    ClientBuilder::new()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}

/// Makes connections to IP addresses.
#[derive(Clone, Copy, Debug)]
struct Dialer;

impl Service<ConnectInfo<Uri>> for Dialer {
    type Response = Connection<Uri, Stream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    actix_web::dev::always_ready!();

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        Box::pin(async move {
            let uri = info.request().clone();
            let address: SocketAddr = uri
                .authority()
                .and_then(|authority| authority.as_str().parse().ok())
                .ok_or(ConnectError::Unresolved)?;
            let stream = TcpStream::connect(address)
                .await
                .map_err(ConnectError::Io)?;
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            Ok(Connection::new(uri, Stream(stream)))
        })
    }
}

/// A connection whose end is an error.
///
/// The client takes the end of a connection in the middle of a body for the end of the body, so a
/// cut answer would pass for a whole one. The error tells the two apart; an answer that ends by
/// closing its connection takes it for the end.
#[derive(Debug)]
struct Stream(TcpStream);

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.0).poll_read(cx, buffer);
        match polled {
            Poll::Ready(Ok(())) if buffer.filled().len() == before && buffer.remaining() > 0 => {
                Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()))
            }
            polled => polled,
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl ActixStream for Stream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}
