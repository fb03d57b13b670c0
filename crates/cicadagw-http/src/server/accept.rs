//! Accepts connections and runs a reader and a writer for each.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::FutureExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::connections::Registration;
use super::queue::Queue;
use super::reader::Reader;
use super::writer::Writer;
use super::{Connections, Service};

/// The buffer size for discarding input while a connection closes, in bytes.
const READ_BYTES: usize = 16 << 10;

/// How long input is read and discarded after the last response (lingering close), so that a TCP
/// reset does not discard the response before the client has read it.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// The delay before the next accept after one failed, for instance for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts and serves connections of `listener` until `token` is cancelled, and then waits until all
/// connections have ended. Idle ones are closed, and the others complete their responses.
pub async fn serve<S: Service>(listener: TcpListener, service: Rc<S>, token: CancellationToken) {
    serve_within(listener, service, token, Rc::default()).await;
}

/// As [`serve`], with the bounds of `connections`. A connection for which there is no room is closed
/// unread.
pub async fn serve_within<S: Service>(
    listener: TcpListener,
    service: Rc<S>,
    token: CancellationToken,
    open: Rc<Connections>,
) {
    let connections = TaskTracker::new();
    let start = |stream| {
        if let Some(registration) = open.register() {
            let connection = connection(
                stream,
                service.clone(),
                token.clone(),
                open.clone(),
                registration,
            );
            connections.spawn_local(connection);
        }
    };
    accept_until(&token, &listener, &start).await;
    // The clients of connections in the backlog may have sent requests already; closing the
    // listener would reset them.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        start(stream);
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

/// Passes accepted connections to `start` until `token` is cancelled.
async fn accept_until(
    token: &CancellationToken,
    listener: &TcpListener,
    start: &impl Fn(TcpStream),
) {
    loop {
        let accepted = tokio::select! {
            () = token.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => start(stream),
            Err(error) => {
                log::warn!(error:%; "failed to accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn connection<S: Service>(
    mut stream: TcpStream,
    service: Rc<S>,
    token: CancellationToken,
    open: Rc<Connections>,
    registration: Registration,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%; "failed to set TCP_NODELAY on an accepted connection");
        return;
    }
    let entry = &registration.entry;
    let queue = Queue::new(open.ledger().clone(), entry.clone());
    let end = {
        let (reader, writer) = stream.split();
        let reader = Reader {
            buffer: BytesMut::new(),
            half: reader,
            queue: &queue,
            service: &service,
            token: &token,
            open: &open,
            held: open.ledger().hold(0),
            head_len: 0,
        };
        let writer = Writer {
            half: writer,
            queue: &queue,
            service: &service,
        };
        tokio::select! {
            biased;
            () = entry.token.cancelled() => End::Evicted,
            end = reader.run() => end,
            end = writer.run() => end,
        }
    };
    let unanswered = queue.pending.borrow().len();
    if end == End::Closed && unanswered > 0 {
        log::warn!(unanswered, next = "they are aborted"; "closed a connection before all of its requests were answered");
    }
    // The client can no longer get the responses to requests in flight; dropping the queue aborts
    // them.
    drop(queue);
    if end == End::Closed {
        // All responses are written; a closing server does not wait for its clients to close.
        tokio::task::spawn_local(lingering_close(stream, registration));
    }
}

/// The reason why a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// The client closed the connection, or writing to it failed.
    Disconnected,
    /// The server wrote its last response, or the connection was idle for too long.
    Closed,
    /// It was closed to make room for others.
    Evicted,
}

async fn lingering_close(mut stream: TcpStream, registration: Registration) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut scratch = BytesMut::with_capacity(READ_BYTES);
    let draining = async {
        while matches!(stream.read_buf(&mut scratch).await, Ok(1..)) {
            scratch.clear();
        }
    };
    // A client that does not close its side in time is cut off.
    tokio::select! {
        _ = timeout(LINGER_TIMEOUT, draining) => {}
        () = registration.entry.token.cancelled() => {}
    }
}
