//! Background load while a test injects a failure.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError, sync_channel};
use std::thread;
use std::time::Duration;

use cicadagw_unit::rate::PerSecond;
use cicadagw_unit::time::Span;
use tokio_util::sync::CancellationToken;

use crate::caller::{Load, Report};
use crate::http::block_on;

/// The maximum time during which calls are sent.
const MAX_SPAN: Span = Span::seconds(120);

/// The timeout for the completion of calls after the last one was sent.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(30);

/// Non-idempotent calls at a constant rate, sent by a thread of their own until this is finished or
/// dropped.
#[derive(Debug)]
pub struct Traffic {
    end: CancellationToken,
    report: Receiver<Report>,
}

impl Traffic {
    /// Starts sending calls for `path` at `rate`, to the nodes at `addresses` in turn.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start(addresses: &[SocketAddr], path: &str, rate: PerSecond) -> io::Result<Self> {
        let load = Load::builder()
            .addresses(addresses)
            .path(path)
            .rate(rate)
            .span(MAX_SPAN)
            .build();
        let end = CancellationToken::new();
        let ended = end.clone();
        let (sender, report) = sync_channel(1);
        thread::Builder::new()
            .name("caller".to_owned())
            .spawn(move || {
                let report = block_on(load.run(ended));
                // The receiver is gone when the test has failed and dropped it.
                let _ = sender.send(report);
            })?;
        Ok(Self { end, report })
    }

    /// Waits for `span` while calls are sent.
    ///
    /// # Errors
    ///
    /// Fails if the thread has ended, which it must not before [`Traffic::finish`].
    pub fn run_for(&self, span: Span) -> io::Result<()> {
        match self.report.recv_timeout(span.into()) {
            Err(RecvTimeoutError::Timeout) => Ok(()),
            Ok(_) | Err(RecvTimeoutError::Disconnected) => Err(io::Error::other(
                "the caller thread ended before it was stopped",
            )),
        }
    }

    /// Stops sending, waits until all calls have completed and returns their results.
    ///
    /// # Errors
    ///
    /// Fails if calls have not completed after 30 s.
    pub fn finish(self) -> io::Result<Report> {
        self.end.cancel();
        let report = self.report.recv_timeout(COMPLETION_TIMEOUT);
        report.map_err(|_| io::Error::other("timed out waiting for calls to complete"))
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.end.cancel();
    }
}
