//! The threads of a node, one for each duty.

use std::io;
use std::panic::{self, AssertUnwindSafe};
use std::sync::mpsc::sync_channel;
use std::thread::{self, JoinHandle};

use tokio::runtime::{Builder, Runtime};
use tokio_util::sync::CancellationToken;

use crate::end::{Cause, End, panic_message};
use crate::{Error, retry};

/// A running duty: its thread, and the name that errors and thread lists show.
///
/// A duty that ends before the node stops, whether it fails, panics or returns, stops the node: the
/// rest of the node would go on with outdated state.
pub struct Duty {
    name: &'static str,
    thread: JoinHandle<End>,
}

impl Duty {
    /// Starts a thread named `name` that runs `work`. If it ends before `stop` is cancelled, it logs
    /// why, and cancels `stop`. While the host has no thread to spare, the start is repeated; see
    /// [`retry::next`].
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start(
        name: &'static str,
        stop: &CancellationToken,
        work: impl FnOnce() -> io::Result<()> + Send + 'static,
    ) -> Result<Self, Error> {
        let start = || {
            // A thread that cannot be started would drop the work, so it is handed over afterwards.
            let (hand_over, received) = sync_channel(1);
            let stop = stop.clone();
            let run = move || match received.recv() {
                Ok(work) => run(name, &stop, work),
                // The starting thread has panicked.
                Err(_) => End::now(name, Cause::Request),
            };
            let thread = thread::Builder::new().name(name.to_owned()).spawn(run)?;
            Ok((thread, hand_over))
        };
        let (thread, hand_over) = until_started(name, stop, start)?;
        // A thread that has started waits for its work.
        hand_over.send(work).ok();
        Ok(Self { name, thread })
    }

    /// Starts a thread named `name` that runs the future returned by `work` on an actix system of
    /// its own.
    ///
    /// # Errors
    ///
    /// Fails if the thread or the event loop cannot be started.
    pub fn start_system<F: Future<Output = io::Result<()>>>(
        name: &'static str,
        stop: &CancellationToken,
        work: impl FnOnce() -> F + Send + 'static,
    ) -> Result<Self, Error> {
        let runtime = until_started(name, stop, event_loop)?;
        Self::start(name, stop, || {
            actix::System::with_tokio_rt(|| runtime).block_on(work())
        })
    }

    /// Waits until the duty ends.
    pub fn join(self) -> End {
        let panicked = |payload| End::now(self.name, Cause::Panicked(panic_message(payload)));
        self.thread.join().unwrap_or_else(panicked)
    }
}

/// Runs `work` on the current thread. If it ends before `stop` is cancelled, logs why and cancels
/// `stop`.
fn run(name: &'static str, stop: &CancellationToken, work: impl FnOnce() -> io::Result<()>) -> End {
    let _stop_on_end = stop.clone().drop_guard();
    // The state of a duty that panicked is dropped with its work.
    let outcome = panic::catch_unwind(AssertUnwindSafe(work));
    let is_stopping = stop.is_cancelled();
    let end = End::now(name, Cause::new(outcome, is_stopping));
    match &end.cause {
        Cause::Request => {}
        cause if is_stopping => {
            log::error!(duty = name, reason:% = cause; "a duty failed while the node stops");
        }
        cause => {
            log::error!(duty = name, reason:% = cause, next = "the node stops"; "a duty ended early");
        }
    }
    end
}

/// Repeats `start`, of the duty `name`, while that may help; see [`retry::next`]. If it fails, logs why
/// and cancels `stop`, since duties that run already have no other end of their rings.
fn until_started<T>(
    name: &'static str,
    stop: &CancellationToken,
    start: impl FnMut() -> io::Result<T>,
) -> Result<T, Error> {
    retry::until_started(name, stop, start).map_err(|error| {
        log::error!(duty = name, reason:% = error, next = "the node stops"; "a duty cannot be started");
        stop.cancel();
        Error::Thread(name, error)
    })
}

/// Creates the event loop of an actix system.
fn event_loop() -> io::Result<Runtime> {
    // The first one of a process panics instead of failing if it gets no descriptors for signals.
    let build = || Builder::new_current_thread().enable_all().build();
    panic::catch_unwind(build)
        .unwrap_or_else(|payload| Err(io::Error::other(panic_message(payload))))
}
