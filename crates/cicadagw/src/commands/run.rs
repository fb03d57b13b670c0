//! `cicadagw run`.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cicadagw_crockworks::{Crockworks, Objects};
use cicadagw_node::Adapter;
use cicadagw_settings::Dialect;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use super::Error;
use super::read::read;
use super::reload::Reload;

/// How often the settings are looked at: the file may change without a signal.
const LOOK: Duration = Duration::from_secs(5);

/// Runs the node with the settings at `path` until it is told to stop.
pub(crate) fn run(path: &Path) -> Result<(), Error> {
    let settings = read(path)?;
    cicadagw_log::install(settings.log, &settings.node)
        .map_err(|error| Error::Runtime(std::io::Error::other(error)))?;
    let stop = CancellationToken::new();
    let reload = Reload::new(path.to_owned(), settings.clone());
    listen_for_signals(stop.clone(), reload)?;
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
            snapshot: cicadagw_crockworks::parse_snapshot,
        },
    }
}

/// Starts the thread that waits for the signals to stop, and for other settings.
fn listen_for_signals(stop: CancellationToken, mut reload: Reload) -> Result<(), Error> {
    let wait = move || {
        actix::System::new().block_on(async {
            let mut terminate = signal(SignalKind::terminate())?;
            let mut interrupt = signal(SignalKind::interrupt())?;
            let mut hangup = signal(SignalKind::hangup())?;
            let mut looks = tokio::time::interval(LOOK);
            loop {
                tokio::select! {
                    _ = terminate.recv() => break,
                    _ = interrupt.recv() => break,
                    _ = hangup.recv() => reload.look(),
                    _ = looks.tick() => reload.look(),
                }
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
