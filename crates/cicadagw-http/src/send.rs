//! Sending of requests and of parts of bodies.

use std::io;

use bytes::{Buf, Bytes};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;

use crate::Framing;
use crate::body::Truncated;
use crate::client::Request;
use crate::encode::chunk_size_line;

/// The reason why sending a request stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendError {
    /// The connection was reset or timed out.
    ///
    /// The kernel reports that only once. After a write that failed with it, reads return what was
    /// received before, and then the end of the stream, as if the server had closed the connection.
    Broken,
    /// The server had closed its side of the connection before it reset the connection.
    Closed,
    /// The request body ended before it was complete.
    TruncatedBody,
}

impl From<io::Error> for SendError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::BrokenPipe => Self::Closed,
            _ => Self::Broken,
        }
    }
}

impl From<Truncated> for SendError {
    fn from(_: Truncated) -> Self {
        Self::TruncatedBody
    }
}

/// Sends a request; its body is streamed if it is not in memory.
pub(crate) async fn send(
    writer: &mut WriteHalf<'_>,
    request: Request<'_>,
) -> Result<(), SendError> {
    let Some((rest, framing)) = request.streamed else {
        let mut message = request.head.chain(request.buffered);
        return Ok(writer.write_all_buf(&mut message).await?);
    };
    let is_chunked = framing == Framing::Chunked;
    let mut head = request.head;
    writer.write_all_buf(&mut head).await?;
    let mut part = Some(request.buffered);
    while let Some(data) = part {
        if !data.is_empty() {
            write_part(writer, data, is_chunked).await?;
        }
        part = rest.next().await?;
    }
    if is_chunked {
        writer.write_all(b"0\r\n\r\n").await?;
    }
    Ok(())
}

/// Writes a part of a body, as a chunk if `is_chunked`.
pub(crate) async fn write_part(
    writer: &mut (impl AsyncWriteExt + Unpin),
    data: Bytes,
    is_chunked: bool,
) -> io::Result<()> {
    if is_chunked {
        let size_line = chunk_size_line(data.len());
        let mut framed = size_line.chain(data).chain(&b"\r\n"[..]);
        return writer.write_all_buf(&mut framed).await;
    }
    let mut data = data;
    writer.write_all_buf(&mut data).await
}
