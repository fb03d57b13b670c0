//! Installation of the logger of the process.

use std::fmt;
use std::io::{self, stdout};
use std::sync::{Arc, OnceLock};

use cicadagw_settings::Level;
use cicadagw_unit::id;
use log::LevelFilter;

use crate::sink::Backlog;
use crate::{Lines, Origin};

/// The counts of the lines of the installed logger.
static BACKLOG: OnceLock<Arc<Backlog>> = OnceLock::new();

/// The reason why the logger cannot be installed.
#[derive(Debug)]
pub enum Error {
    /// The process already has a logger.
    Installed,
    /// The thread that writes the lines cannot be started.
    Thread(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Installed => f.write_str("the process already has a logger"),
            Self::Thread(error) => write!(f, "the thread that writes the log: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Installs a logger that writes the records of `level` or more severe to the standard output, as
/// JSON lines; of libraries, only warnings and errors. Logging never waits for the standard output.
///
/// # Errors
///
/// Fails if the process already has a logger, or the thread that writes cannot be started.
pub fn install(level: Level, node: &id::Node) -> Result<(), Error> {
    let lines = Lines::start(stdout(), node).map_err(Error::Thread)?;
    let backlog = lines.backlog().clone();
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(Origin).append(lines))
        .try_apply()
        .map_err(|_| Error::Installed)?;
    // The logger is installed once, and so is its backlog.
    BACKLOG.set(backlog).map_err(|_| Error::Installed)?;
    set_level(level);
    Ok(())
}

/// Returns the number of lines that were dropped since the standard output did not take them in time,
/// or failed.
pub fn dropped_lines() -> u64 {
    BACKLOG.get().map_or(0, |backlog| backlog.dropped())
}

/// Waits a moment for the lines that are not written yet, before the process ends.
pub fn flush() {
    log::logger().flush();
}

/// Sets the least severe level that is written.
pub fn set_level(level: Level) {
    log::set_max_level(match level {
        Level::Error => LevelFilter::Error,
        Level::Warn => LevelFilter::Warn,
        Level::Info => LevelFilter::Info,
        Level::Debug => LevelFilter::Debug,
    });
}
