//! Threads that send calls.

use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError, sync_channel};
use std::thread;

use cicadagw_unit::rate::PerSecond;
use cicadagw_unit::time::Span;
use futures_util::future::join_all;
use tokio_util::sync::CancellationToken;

use crate::caller::{Load, Report};
use crate::http::block_on;

/// A thread that sends calls until [`Traffic::finish`] or until the span of the loads is over.
pub(crate) struct Traffic {
    end: CancellationToken,
    reports: Receiver<Vec<Report>>,
}

impl Traffic {
    /// Starts to send all of `loads` at the same time from one new thread.
    pub(crate) fn start(loads: Vec<Load>) -> io::Result<Self> {
        let end = CancellationToken::new();
        let ended = end.clone();
        let (sender, reports) = sync_channel(1);
        thread::Builder::new()
            .name("caller".to_owned())
            .spawn(move || {
                let loads = loads.into_iter().map(|load| load.run(ended.clone()));
                let reports = block_on(join_all(loads));
                // The receiver is gone if the measurement has failed.
                let _ = sender.send(reports);
            })?;
        Ok(Self { end, reports })
    }

    /// Waits for `span` while calls are sent; fails if the thread ends before.
    pub(crate) fn run_for(&self, span: Span) -> io::Result<()> {
        match self.reports.recv_timeout(span.into()) {
            Err(RecvTimeoutError::Timeout) => Ok(()),
            Ok(_) | Err(RecvTimeoutError::Disconnected) => Err(io::Error::other(
                "the caller thread ended before it was stopped",
            )),
        }
    }

    /// Waits until the span of the loads is over; returns the report of each.
    pub(crate) fn wait(self) -> io::Result<Vec<Report>> {
        self.reports.recv().map_err(io::Error::other)
    }

    /// Ends the loads before their span is over; returns the report of each.
    pub(crate) fn finish(self) -> io::Result<Vec<Report>> {
        self.end.cancel();
        self.wait()
    }
}

/// Sends `load` from `threads` threads, each at an equal share of the rate; returns one report of all
/// calls.
pub(crate) fn run_shared(load: &Load, threads: u32) -> io::Result<Report> {
    let rate = load.rate.get() / threads;
    let start = || {
        let share = Load {
            rate: PerSecond::new(rate),
            ..load.clone()
        };
        Traffic::start(vec![share])
    };
    let threads: io::Result<Vec<Traffic>> = (0..threads).map(|_| start()).collect();
    let mut sum = Report::default();
    for traffic in threads? {
        for report in traffic.wait()? {
            sum.merge(report);
        }
    }
    Ok(sum)
}
