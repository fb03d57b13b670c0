//! Installation of the logger of the process.

use std::fmt;
use std::io::stdout;

use cicadagw_settings::Level;
use cicadagw_unit::id;
use log::LevelFilter;

use crate::{Lines, Origin};

/// The error that the process already has a logger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the process already has a logger")
    }
}

impl std::error::Error for Error {}

/// Installs a logger that writes the records of `level` or more severe to the standard output, as
/// JSON lines; of libraries, only warnings and errors.
///
/// # Errors
///
/// Fails if the process already has a logger.
pub fn install(level: Level, node: &id::Node) -> Result<(), Error> {
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(Origin).append(Lines::new(stdout(), node)))
        .try_apply()
        .map_err(|_| Error)?;
    set_level(level);
    Ok(())
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
