//! Connections that can be cut, also while a peer does not read.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::sync::{CancellationToken, DropGuard, WaitForCancellationFutureOwned};

/// A connection that ends with its token, and ends the token when it is dropped.
pub(crate) struct Socket {
    stream: TcpStream,
    // Reading and writing may be awaited by two tasks, so each has its own wait for the token.
    read_cut: Pin<Box<WaitForCancellationFutureOwned>>,
    write_cut: Pin<Box<WaitForCancellationFutureOwned>>,
    _end: DropGuard,
}

impl Socket {
    /// Ties `stream` to `token`; small messages are sent at once.
    pub(crate) fn new(stream: TcpStream, token: &CancellationToken) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            read_cut: Box::pin(token.clone().cancelled_owned()),
            write_cut: Box::pin(token.clone().cancelled_owned()),
            _end: token.clone().drop_guard(),
        })
    }

    fn check_write(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        check(self.write_cut.as_mut(), cx)
    }
}

fn check(cut: Pin<&mut WaitForCancellationFutureOwned>, cx: &mut Context<'_>) -> io::Result<()> {
    match cut.poll(cx) {
        Poll::Ready(()) => Err(ErrorKind::ConnectionAborted.into()),
        Poll::Pending => Ok(()),
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        check(self.read_cut.as_mut(), cx)?;
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_write(cx)?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check_write(cx)?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
