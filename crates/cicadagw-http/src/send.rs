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
pub(crate) enum SendError {
    /// Writing to the connection failed.
    WriteFailed,
    /// The request body ended before it was complete.
    TruncatedBody,
}

/// Sends a request; its body is streamed if it is not in memory.
pub(crate) async fn send(
    writer: &mut WriteHalf<'_>,
    request: Request<'_>,
) -> Result<(), SendError> {
    let write_failed = |_| SendError::WriteFailed;
    let Some((rest, framing)) = request.streamed else {
        let mut message = request.head.chain(request.buffered);
        return writer
            .write_all_buf(&mut message)
            .await
            .map_err(write_failed);
    };
    let is_chunked = framing == Framing::Chunked;
    let mut head = request.head;
    writer
        .write_all_buf(&mut head)
        .await
        .map_err(write_failed)?;
    let mut part = Some(request.buffered);
    while let Some(data) = part {
        if !data.is_empty() {
            write_part(writer, data, is_chunked)
                .await
                .map_err(write_failed)?;
        }
        part = rest
            .next()
            .await
            .map_err(|Truncated| SendError::TruncatedBody)?;
    }
    if is_chunked {
        writer.write_all(b"0\r\n\r\n").await.map_err(write_failed)?;
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
