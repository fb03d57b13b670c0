//! Connections from their first byte to their last.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::Service;
use super::queue::Queue;
use super::reader::Reader;
use super::writer::Writer;

/// How much is read at once while a connection closes, in bytes.
const READ: usize = 16 << 10;

/// How long a connection that was closed with an answer is read on, so that a reset does not
/// overtake the answer.
const LINGER: Duration = Duration::from_secs(1);

/// How long nothing is accepted after the system had no room for a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves the connections of `listener` until `token` is cancelled; those that are open go on.
pub async fn serve<S: Service>(listener: TcpListener, service: Rc<S>, token: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = token.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(stream, service.clone()));
            }
            Err(error) => {
                log::warn!(error:%; "a connection could not be accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<S: Service>(mut stream: TcpStream, service: Rc<S>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%; "a connection ended as it was accepted");
        return;
    }
    let queue = Queue::default();
    let end = {
        let (reader, writer) = stream.split();
        let reader = Reader {
            buffer: BytesMut::new(),
            half: reader,
            queue: &queue,
            service: &service,
        };
        let writer = Writer {
            half: writer,
            queue: &queue,
            service: &service,
        };
        tokio::select! {
            biased;
            end = reader.run() => end,
            end = writer.run() => end,
        }
    };
    // What is still under way has nobody left to answer to, and ends with the queue.
    drop(queue);
    if end == End::Closed {
        linger(&mut stream).await;
    }
}

/// How a connection came to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// The client left, or cannot be written to.
    Gone,
    /// The last answer was written.
    Closed,
}

async fn linger(stream: &mut TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut scratch = BytesMut::with_capacity(READ);
    let draining = async {
        while matches!(stream.read_buf(&mut scratch).await, Ok(1..)) {
            scratch.clear();
        }
    };
    // Nothing depends on whether the client closed its side in time.
    timeout(LINGER, draining).await.ok();
}
