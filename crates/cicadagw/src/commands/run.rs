//! The subcommand `cicadagw run`.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::{env, io};

use cicadagw_crockworks::{Crockworks, Objects};
use cicadagw_node::retry::until_started;
use cicadagw_node::{Adapter, End};
use cicadagw_ring::{Receiver, channel};
use cicadagw_settings::Dialect;
use tokio_util::sync::CancellationToken;

use super::reload::Reload;
use super::settings::read_for_start;
use super::signals::{ReloadRequest, Signals};
use super::{Error, Exit};

/// Capacity of the ring of requests to reload the settings, in messages: one reload answers all
/// requests before it.
const RELOADS_CAPACITY: usize = 1;

/// The environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "CICADAGW_CONFIG";

/// The path of the settings file if neither the command line nor the variable has one.
const SETTINGS_DEFAULT: &str = "/etc/cicadagw/node.toml";

/// Runs the node with the settings file at `path`, at the path in [`SETTINGS_VARIABLE`] or at
/// [`SETTINGS_DEFAULT`], until SIGTERM or SIGINT arrives, and logs why it ends.
pub(crate) fn run(path: Option<PathBuf>) -> Result<(), Error> {
    // A signal before this ends the process by the signal's default action.
    let signals = Signals::install();
    cicadagw_log::install().map_err(|error| Error::Runtime(std::io::Error::other(error)))?;
    let path = path
        .or_else(|| env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        .unwrap_or_else(|| PathBuf::from(SETTINGS_DEFAULT));
    log::info!(version = env!("CARGO_PKG_VERSION"), process = std::process::id(), settings:% = path.display(); "the process has started");
    // The hook of the logger has logged the reason of a panic.
    let outcome = catch_unwind(AssertUnwindSafe(|| run_until_signal(&path, signals)))
        .unwrap_or(Err(Error::Panicked));
    match &outcome {
        Ok(()) => cicadagw_log::report_end(&"it was asked to stop", Exit::Done.code()),
        Err(error) => cicadagw_log::report_end(&error.details(), Exit::from(error).code()),
    }
    cicadagw_log::flush();
    outcome
}

/// Runs the node until a signal to stop arrives, which may be before its settings are read. Handlers
/// that could not be installed are tried again if the host may have the resources soon.
fn run_until_signal(path: &Path, signals: io::Result<Signals>) -> Result<(), Error> {
    let stop = CancellationToken::new();
    let signals = signals
        .or_else(|_| until_started("signals", &stop, Signals::install))
        .map_err(Error::Runtime)?;
    let (sender, requests) = channel("reloads", RELOADS_CAPACITY);
    let signals = signals.start(&stop, sender).map_err(Error::Node)?;
    let outcome = run_node(path, requests, &stop);
    stop.cancel();
    outcome.and(End::outcome([signals.join()]).map_err(Error::Node))
}

/// Runs the node with the settings file at `path` until `stop` is cancelled.
fn run_node(
    path: &Path,
    requests: Receiver<ReloadRequest>,
    stop: &CancellationToken,
) -> Result<(), Error> {
    let Some(settings) = read_for_start(path, stop)? else {
        log::info!("stopped before the start of the node");
        return Ok(());
    };
    cicadagw_log::set_level(settings.log);
    cicadagw_log::set_node(&settings.node);
    Reload::new(path.to_owned(), settings.clone())
        .start(requests, stop)
        .map_err(Error::Runtime)?;
    let outcome = match &settings.peering {
        Some(peering) => {
            let adapter = adapter(peering.dialect);
            cicadagw_node::peering::run(&settings, peering, &adapter, stop)
        }
        None => cicadagw_node::run(&settings, stop),
    };
    outcome.map_err(Error::Node)
}

/// Returns the platform-specific parts of a node for the platform that speaks `dialect`.
fn adapter(dialect: Dialect) -> Adapter {
    match dialect {
        Dialect::Crockworks => Adapter {
            dialect: Arc::new(Crockworks),
            encoding: Arc::new(Objects),
            parse_snapshot: cicadagw_crockworks::parse_snapshot,
            parse_rollout: cicadagw_crockworks::parse_rollout,
            render_rollout: cicadagw_crockworks::render_rollout,
        },
    }
}
