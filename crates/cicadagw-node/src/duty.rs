//! The threads of a node, one for each duty.

use std::io;
use std::thread::{self, JoinHandle};

use crate::Error;

/// A running duty: its thread, and the name that errors and thread lists show.
pub(crate) struct Duty {
    name: &'static str,
    thread: JoinHandle<io::Result<()>>,
}

impl Duty {
    /// Starts a thread named `name` that runs `work`.
    pub(crate) fn start(
        name: &'static str,
        work: impl FnOnce() -> io::Result<()> + Send + 'static,
    ) -> Result<Self, Error> {
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(work)
            .map_err(|error| Error::Duty(name, error))?;
        Ok(Self { name, thread })
    }

    /// Starts a thread named `name` that runs the future returned by `work` on an actix system of
    /// its own.
    pub(crate) fn start_system<F: Future<Output = io::Result<()>>>(
        name: &'static str,
        work: impl FnOnce() -> F + Send + 'static,
    ) -> Result<Self, Error> {
        Self::start(name, || actix::System::new().block_on(work()))
    }

    /// Waits until the duty ends, and returns its error if it failed or panicked.
    pub(crate) fn join(self) -> Result<(), Error> {
        let panicked = || Err(io::Error::other("its thread panicked"));
        let outcome = self.thread.join().unwrap_or_else(|_| panicked());
        outcome.map_err(|error| Error::Duty(self.name, error))
    }
}
