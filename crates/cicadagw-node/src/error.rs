//! Why a node cannot run.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use cicadagw_finding::Findings;

/// Says why a node cannot run.
#[derive(Debug)]
pub enum Error {
    /// An embedded chart is wrong.
    Charts(Findings),
    /// Addresses of the settings cannot be listened on, by the names of their keys.
    Sockets(Vec<(&'static str, SocketAddr, io::Error)>),
    /// A duty ended with an error.
    Duty(&'static str, io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Charts(findings) => write!(f, "the charts cannot be used:\n{findings}"),
            Self::Sockets(failures) => {
                for (index, (key, address, error)) in failures.iter().enumerate() {
                    let end = if index == 0 { "" } else { "\n" };
                    write!(f, "{end}cannot listen on `{key}` {address}: {error}")?;
                }
                Ok(())
            }
            Self::Duty(name, error) => write!(f, "the {name} duty failed: {error}"),
        }
    }
}

impl std::error::Error for Error {}
