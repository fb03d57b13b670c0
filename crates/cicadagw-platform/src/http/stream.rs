//! A stream that fails when an invalid response head is received on it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_rt::net::{ActixStream, Ready};
use bytes::BytesMut;
use cicadagw_http::response;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The maximum size of a response head, in bytes.
const HEAD_BYTES_MAX: usize = 64 << 10;

/// A connection on which received response heads are checked by the parser of the proxy. That of awc
/// accepts heads that are not valid, such as one with whitespace at the end of a field name.
#[derive(Debug)]
pub(crate) struct Stream {
    tcp: TcpStream,
    heads: Heads,
}

impl Stream {
    pub(crate) fn new(tcp: TcpStream) -> Self {
        Self {
            tcp,
            heads: Heads::default(),
        }
    }

    fn tcp(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.get_mut().tcp)
    }
}

/// Checks the heads of the responses on a connection. awc sends a request completely before it reads
/// the response, and one request at a time.
#[derive(Debug, Default)]
struct Heads {
    /// The received part of the head.
    received: BytesMut,
    /// Whether the head of the response to the last request is complete, so that its body follows.
    is_complete: bool,
}

impl Heads {
    /// Expects the response to a request that is being sent.
    const fn expect(&mut self) {
        self.is_complete = false;
    }

    /// Checks `bytes`, which were received next.
    fn check(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.is_complete {
            return Ok(());
        }
        self.received.extend_from_slice(bytes);
        while !self.is_complete {
            // The method affects only the framing of the body, which awc determines.
            let Some(head) = response(&mut self.received, b"GET", HEAD_BYTES_MAX)
                .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?
            else {
                return Ok(());
            };
            // The response follows an interim one.
            self.is_complete = head.status >= 200;
        }
        self.received = BytesMut::new();
        Ok(())
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(self.as_mut().tcp().poll_read(cx, buffer))?;
        Poll::Ready(self.heads.check(&buffer.filled()[before..]))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.heads.expect();
        self.tcp().poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.tcp().poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.tcp().poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.heads.expect();
        self.tcp().poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }
}

impl ActixStream for Stream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.tcp, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.tcp, cx)
    }
}
