//! The signals that a node reacts to.

use std::{io, panic};

use cicadagw_node::Duty;
use cicadagw_ring::Sender;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// A request to read the settings again.
pub(super) struct ReloadRequest;

/// The installed handlers, and the runtime that they wake. A signal that arrives before anyone waits
/// for it is kept.
pub(super) struct Signals {
    hangup: Signal,
    interrupt: Signal,
    runtime: Runtime,
    terminate: Signal,
}

impl Signals {
    /// Installs the handlers, on the calling thread.
    ///
    /// # Errors
    ///
    /// Fails if the host lacks descriptors, or a handler cannot be installed.
    pub(super) fn install() -> io::Result<Self> {
        // Without descriptors for its global state, the first runtime of a process panics.
        panic::catch_unwind(Self::try_install)
            .unwrap_or_else(|_| Err(io::Error::other("the signal handlers cannot be installed")))
    }

    fn try_install() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_io().build()?;
        let entered = runtime.enter();
        let hangup = signal(SignalKind::hangup())?;
        let interrupt = signal(SignalKind::interrupt())?;
        let terminate = signal(SignalKind::terminate())?;
        drop(entered);
        Ok(Self {
            hangup,
            interrupt,
            runtime,
            terminate,
        })
    }

    /// Starts the thread that cancels `stop` on SIGTERM or SIGINT, and sends a request to `reloads` on
    /// SIGHUP. It never waits for anything else. If it fails, it cancels `stop`, since the node could
    /// not be stopped otherwise.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub(super) fn start(
        self,
        stop: &CancellationToken,
        reloads: Sender<ReloadRequest>,
    ) -> Result<Duty, cicadagw_node::Error> {
        let token = stop.clone();
        Duty::start("signals", stop, move || {
            self.wait(&token, &reloads);
            Ok(())
        })
    }

    /// Reacts to signals until `stop` is cancelled. The handlers stay installed afterwards, so that a
    /// signal to a process that stops already changes nothing.
    fn wait(mut self, stop: &CancellationToken, reloads: &Sender<ReloadRequest>) {
        self.runtime.block_on(async {
            loop {
                tokio::select! {
                    _ = self.terminate.recv() => break,
                    _ = self.interrupt.recv() => break,
                    Some(()) = self.hangup.recv() => {
                        // A full ring holds a request that is carried out later than now.
                        let _ = reloads.try_send(ReloadRequest);
                    }
                    () = stop.cancelled() => return,
                }
            }
            log::info!(next = "calls in flight are finished"; "received a signal to stop");
            stop.cancel();
        });
    }
}
