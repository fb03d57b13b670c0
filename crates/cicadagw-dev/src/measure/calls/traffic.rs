//! Calls, sent by threads of their own.

use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError, sync_channel};
use std::thread;

use cicadagw_unit::rate::PerSecond;
use cicadagw_unit::time::Span;
use futures_util::future::join_all;
use tokio_util::sync::CancellationToken;

use crate::caller::{Load, Report};
use crate::http::block_on;

/// Calls that go on until they are told to end, or until their span is over.
pub(crate) struct Traffic {
    end: CancellationToken,
    reports: Receiver<Vec<Report>>,
}

impl Traffic {
    /// Starts to send all of `loads`, by one thread.
    pub(crate) fn start(loads: Vec<Load>) -> io::Result<Self> {
        let end = CancellationToken::new();
        let ended = end.clone();
        let (sender, reports) = sync_channel(1);
        thread::Builder::new()
            .name("caller".to_owned())
            .spawn(move || {
                let running = loads.into_iter().map(|load| load.run(ended.clone()));
                let reports = block_on(join_all(running));
                // Nobody is there to hear it when the measurement has failed.
                let _ = sender.send(reports);
            })?;
        Ok(Self { end, reports })
    }

    /// Lets calls go on for `span`.
    pub(crate) fn go_on(&self, span: Span) -> io::Result<()> {
        match self.reports.recv_timeout(span.into()) {
            Err(RecvTimeoutError::Timeout) => Ok(()),
            Ok(_) | Err(RecvTimeoutError::Disconnected) => {
                Err(io::Error::other("the calls ended too early"))
            }
        }
    }

    /// Waits for the end of the loads.
    pub(crate) fn wait(self) -> io::Result<Vec<Report>> {
        self.reports.recv().map_err(io::Error::other)
    }

    /// Ends the loads.
    pub(crate) fn finish(self) -> io::Result<Vec<Report>> {
        self.end.cancel();
        self.wait()
    }
}

/// Sends `load` by several threads, each its share, and returns what became of all calls.
pub(crate) fn shared(load: &Load, threads: u32) -> io::Result<Report> {
    let rate = load.rate.get() / threads;
    let start = || {
        let share = Load {
            rate: PerSecond::new(rate),
            ..load.clone()
        };
        Traffic::start(vec![share])
    };
    let running: io::Result<Vec<Traffic>> = (0..threads).map(|_| start()).collect();
    let mut sum = Report::default();
    for traffic in running? {
        for report in traffic.wait()? {
            sum.merge(report);
        }
    }
    Ok(sum)
}
