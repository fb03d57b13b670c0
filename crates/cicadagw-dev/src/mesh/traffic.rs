//! Calls that go on while something fails.

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

/// The longest that calls are sent.
const SPAN: Span = Span::seconds(120);

/// How long answers may be waited for after the last call.
const PATIENCE: Duration = Duration::from_secs(30);

/// Calls that are not idempotent, sent by a thread of their own.
#[derive(Debug)]
pub struct Traffic {
    end: CancellationToken,
    report: Receiver<Report>,
}

impl Traffic {
    /// Starts to send calls for `path` to the nodes at `addresses`, in turn, `rate` of them.
    ///
    /// # Errors
    ///
    /// When no thread can be started.
    pub fn start(addresses: &[SocketAddr], path: &str, rate: PerSecond) -> io::Result<Self> {
        let load = Load::builder()
            .addresses(addresses)
            .path(path)
            .rate(rate)
            .span(SPAN)
            .build();
        let end = CancellationToken::new();
        let ended = end.clone();
        let (sender, report) = sync_channel(1);
        thread::Builder::new()
            .name("caller".to_owned())
            .spawn(move || {
                let report = block_on(load.run(ended));
                // Nobody is there to hear it when the caller of this has failed.
                let _ = sender.send(report);
            })?;
        Ok(Self { end, report })
    }

    /// Lets calls go on for `span`.
    ///
    /// # Errors
    ///
    /// When the caller has ended.
    pub fn run_for(&self, span: Span) -> io::Result<()> {
        match self.report.recv_timeout(span.into()) {
            Err(RecvTimeoutError::Timeout) => Ok(()),
            Ok(_) | Err(RecvTimeoutError::Disconnected) => {
                Err(io::Error::other("the caller ended too early"))
            }
        }
    }

    /// Ends the calls, waits for all answers and returns what became of them.
    ///
    /// # Errors
    ///
    /// When answers do not come.
    pub fn finish(self) -> io::Result<Report> {
        self.end.cancel();
        let report = self.report.recv_timeout(PATIENCE);
        report.map_err(|_| io::Error::other("calls are still not answered"))
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.end.cancel();
    }
}
