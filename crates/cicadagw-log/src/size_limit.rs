//! The limit on the size of the files that a process writes.

use std::{io, panic};

use rustix::process::Signal;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

/// Makes a write beyond the limit fail, whose signal ends the process by default. The handler stays
/// installed.
///
/// # Errors
///
/// Fails if the process lacks descriptors, or the handler cannot be installed.
pub(crate) fn install_handler() -> io::Result<()> {
    // Without descriptors for its global state, the first runtime of a process panics.
    panic::catch_unwind(try_install_handler)
        .unwrap_or_else(|_| Err(io::Error::other("the process lacks descriptors")))
}

fn try_install_handler() -> io::Result<()> {
    let runtime = Builder::new_current_thread().enable_io().build()?;
    let _entered = runtime.enter();
    signal(SignalKind::from_raw(Signal::XFSZ.as_raw())).map(drop)
}
