//! `cicadagw run`.

use std::path::Path;
use std::thread;

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use super::Error;
use super::read::read;

/// Runs the node with the settings at `path` until it is told to stop.
pub(crate) fn run(path: &Path) -> Result<(), Error> {
    let settings = read(path)?;
    cicadagw_log::install(settings.log, &settings.node)
        .map_err(|error| Error::Runtime(std::io::Error::other(error)))?;
    let stop = CancellationToken::new();
    listen_for_signals(stop.clone())?;
    cicadagw_node::run(&settings, &stop).map_err(Error::Node)
}

/// Starts the thread that waits for the signals to stop.
fn listen_for_signals(stop: CancellationToken) -> Result<(), Error> {
    let wait = move || {
        actix::System::new().block_on(async {
            let mut terminate = signal(SignalKind::terminate())?;
            let mut interrupt = signal(SignalKind::interrupt())?;
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            log::info!(next = "calls in flight are finished"; "told to stop");
            stop.cancel();
            Ok::<(), std::io::Error>(())
        })
    };
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(wait)
        .map(drop)
        .map_err(Error::Runtime)
}
