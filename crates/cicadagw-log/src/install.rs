//! The logger of the process.

use std::fmt;
use std::io::stdout;

use cicadagw_settings::Level;
use cicadagw_unit::id;
use log::LevelFilter;

use crate::{Lines, Origin};

/// Says that the process has a logger already.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the process has a logger already")
    }
}

impl std::error::Error for Error {}

/// Makes the `log` macros write JSON lines to the standard output, from `level` on.
///
/// # Errors
///
/// [`Error`] when there is a logger already.
pub fn install(level: Level, node: &id::Node) -> Result<(), Error> {
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(Origin).append(Lines::new(stdout(), node)))
        .try_apply()
        .map_err(|_| Error)?;
    set_level(level);
    Ok(())
}

/// Changes the least severe level that is written.
pub fn set_level(level: Level) {
    log::set_max_level(match level {
        Level::Error => LevelFilter::Error,
        Level::Warn => LevelFilter::Warn,
        Level::Info => LevelFilter::Info,
        Level::Debug => LevelFilter::Debug,
    });
}
