//! Errors that keep a node from running.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use cicadagw_finding::Findings;

/// The reason why a node cannot start, or why it stopped.
#[derive(Debug)]
pub enum Error {
    /// An embedded state chart is invalid.
    Charts(Findings),
    /// Sockets cannot be bound: for each, its settings key, its address and the error.
    Sockets(Vec<(&'static str, SocketAddr, io::Error)>),
    /// The named duty ended with an error.
    Duty(&'static str, io::Error),
    /// The thread of the named duty, or its event loop, could not be started.
    Thread(&'static str, io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Charts(findings) => {
                write!(f, "the embedded state charts are invalid:\n{findings}")
            }
            Self::Sockets(failures) => {
                for (index, (key, address, error)) in failures.iter().enumerate() {
                    let end = if index == 0 { "" } else { "\n" };
                    write!(f, "{end}cannot listen on `{key}` {address}: {error}")?;
                }
                Ok(())
            }
            Self::Duty(name, error) => write!(f, "the {name} duty failed: {error}"),
            Self::Thread(name, error) => {
                write!(
                    f,
                    "the thread of the {name} duty cannot be started: {error}"
                )
            }
        }
    }
}

impl std::error::Error for Error {}
