//! `cicadagw run`.

use std::path::Path;
use std::sync::Arc;
use std::thread;

use cicadagw_crockworks::{Crockworks, Objects};
use cicadagw_node::Adapter;
use cicadagw_settings::Dialect;
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
    match &settings.peering {
        Some(peering) => {
            let adapter = adapter(peering.dialect);
            cicadagw_node::peering::run(&settings, peering, &adapter, &stop)
        }
        None => cicadagw_node::run(&settings, &stop),
    }
    .map_err(Error::Node)
}

/// Returns what adapts a node to the platform that speaks `dialect`.
fn adapter(dialect: Dialect) -> Adapter {
    match dialect {
        Dialect::Crockworks => Adapter {
            dialect: Arc::new(Crockworks),
            encoding: Arc::new(Objects),
            snapshot: cicadagw_crockworks::snapshot,
        },
    }
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
