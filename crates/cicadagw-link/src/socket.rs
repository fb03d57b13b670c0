//! TCP connections that a cancellation token closes, even while the peer does not read.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::sync::{CancellationToken, DropGuard, WaitForCancellationFutureOwned};

/// A connection whose reads and writes fail once its token is cancelled; dropping it cancels the
/// token.
pub(crate) struct Socket {
    stream: TcpStream,
    // Two tasks may poll for reading and writing, so each direction has its own cancellation
    // future.
    read_cancelled: Pin<Box<WaitForCancellationFutureOwned>>,
    write_cancelled: Pin<Box<WaitForCancellationFutureOwned>>,
    _cancel_on_drop: DropGuard,
}

impl Socket {
    /// Ties `stream` to `token` and disables Nagle's algorithm, so that small messages are sent at
    /// once.
    pub(crate) fn new(stream: TcpStream, token: &CancellationToken) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            read_cancelled: Box::pin(token.clone().cancelled_owned()),
            write_cancelled: Box::pin(token.clone().cancelled_owned()),
            _cancel_on_drop: token.clone().drop_guard(),
        })
    }

    /// Fails if the token is cancelled, and otherwise registers the writing task to be woken by it.
    fn check_write(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        check(self.write_cancelled.as_mut(), cx)
    }
}

/// Fails if the token is cancelled, and otherwise registers the task of `cx` to be woken by it.
fn check(
    cancelled: Pin<&mut WaitForCancellationFutureOwned>,
    cx: &mut Context<'_>,
) -> io::Result<()> {
    match cancelled.poll(cx) {
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
        check(self.read_cancelled.as_mut(), cx)?;
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
