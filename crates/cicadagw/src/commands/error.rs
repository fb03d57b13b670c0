//! Why a command failed.

use std::io;
use std::path::PathBuf;

use cicadagw_report::Report;
use miette::Diagnostic;

/// Says why a command failed.
#[derive(Debug, Diagnostic)]
pub(crate) enum Error {
    #[diagnostic(transparent)]
    Findings(Report),
    #[diagnostic(help(
        "a port in use belongs to another process; a node that cannot start changes nothing"
    ))]
    Node(cicadagw_node::Error),
    #[diagnostic(help("give the path of a readable settings file"))]
    Read(PathBuf, io::Error),
    #[diagnostic(help("this is a fault of the program or its host"))]
    Runtime(io::Error),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Findings(report) => write!(f, "{report}"),
            Self::Node(error) => write!(f, "{error}"),
            Self::Read(path, error) => write!(f, "cannot read {}: {error}", path.display()),
            Self::Runtime(error) => write!(f, "the process cannot work: {error}"),
        }
    }
}

impl std::error::Error for Error {}
