//! Duties: each has a thread of its own.

use std::io;
use std::thread::{self, JoinHandle};

use crate::Error;

/// A duty that runs on its own thread.
pub(crate) struct Duty {
    name: &'static str,
    thread: JoinHandle<io::Result<()>>,
}

impl Duty {
    /// Starts a thread named `name` that does `work`.
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

    /// Starts a thread named `name` with an actix system that runs what `work` returns.
    pub(crate) fn start_system<F: Future<Output = io::Result<()>>>(
        name: &'static str,
        work: impl FnOnce() -> F + Send + 'static,
    ) -> Result<Self, Error> {
        Self::start(name, || actix::System::new().block_on(work()))
    }

    /// Waits for the duty to end.
    pub(crate) fn join(self) -> Result<(), Error> {
        let panicked = || Err(io::Error::other("its thread panicked"));
        let outcome = self.thread.join().unwrap_or_else(|_| panicked());
        outcome.map_err(|error| Error::Duty(self.name, error))
    }
}
