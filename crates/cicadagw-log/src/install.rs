//! Installation of the logger of the process.

use std::fmt;
use std::io::{self, stdout};
use std::panic::{self, PanicHookInfo};
use std::sync::OnceLock;
use std::thread;

use cicadagw_settings::Level;
use cicadagw_unit::id;
use log::LevelFilter;
use logforth::kv::{Key, Value};
use logforth::record;

use crate::{Lines, Name, Origin, size_limit};

/// The lines and the name of the node of the installed logger.
static INSTALLED: OnceLock<(Lines, Name)> = OnceLock::new();

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

/// Installs a logger that writes records to the standard output, as JSON lines; of libraries, only
/// warnings and errors. Logging never waits for the standard output. From then on, a thread that
/// panics logs its reason instead of writing it to the standard error, and lines beyond the limit on
/// the size of files are dropped.
///
/// The level is that of default settings until [`set_level`] is called, and lines do not name the node
/// until [`set_node`] is called.
///
/// # Errors
///
/// Fails if the process already has a logger, or the thread that writes cannot be started.
pub fn install() -> Result<(), Error> {
    let name = Name::default();
    let lines = Lines::start(stdout(), name.clone()).map_err(Error::Thread)?;
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(Origin).append(lines.clone()))
        .try_apply()
        .map_err(|_| Error::Installed)?;
    // The logger is installed once, and so are its lines.
    INSTALLED.set((lines, name)).map_err(|_| Error::Installed)?;
    set_level(Level::default());
    panic::set_hook(Box::new(report_panic));
    if let Err(error) = size_limit::install_handler() {
        log::warn!(error:%, next = "the process ends when the log reaches the limit on the size of files"; "cannot install a handler");
    }
    Ok(())
}

/// Adds the name of `node` to the lines that are logged from now on.
pub fn set_node(node: &id::Node) {
    if let Some((_, name)) = INSTALLED.get() {
        name.set(node);
    }
}

/// Returns the number of lines that were dropped since the standard output did not take them in time,
/// or failed.
pub fn dropped_lines() -> u64 {
    let installed = INSTALLED.get();
    installed.map_or(0, |(lines, _)| lines.backlog().dropped())
}

/// Logs that the process ends, for `reason` and with `exit_code`, even if other lines are dropped for
/// lack of room.
pub fn report_end(reason: &dyn fmt::Display, exit_code: u8) {
    let Some((lines, _)) = INSTALLED.get() else {
        return;
    };
    let level = match exit_code {
        0 => record::Level::Info,
        _ => record::Level::Error,
    };
    let reason = reason.to_string();
    let fields = [
        (Key::new("reason"), Value::str(&reason)),
        (Key::new("exit_code"), Value::u64(u64::from(exit_code))),
    ];
    lines.report_end(level, format_args!("the process ends"), &fields);
}

/// Logs the reason of a panic. The rate limit, whose lock the panicking thread may hold, is not
/// applied.
fn report_panic(info: &PanicHookInfo<'_>) {
    let Some((lines, _)) = INSTALLED.get() else {
        return;
    };
    let thread = thread::current();
    let location = info.location().map(ToString::to_string);
    let fields = [
        (Key::new("thread"), Value::str(thread.name().unwrap_or("-"))),
        (
            Key::new("reason"),
            Value::str(info.payload_as_str().unwrap_or("-")),
        ),
        (
            Key::new("location"),
            Value::str(location.as_deref().unwrap_or("-")),
        ),
    ];
    let level = record::Level::Error;
    lines.report_end(level, format_args!("a thread panicked"), &fields);
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
