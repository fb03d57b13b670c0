//! Errors of the subcommands.

use std::io;
use std::path::PathBuf;

use cicadagw_report::Report;
use miette::Diagnostic;

/// The reason why a subcommand failed.
#[derive(Debug, Diagnostic)]
pub(crate) enum Error {
    /// The settings have findings.
    #[diagnostic(transparent)]
    Findings(Report),
    /// The node could not start, or a duty of it failed.
    #[diagnostic(help("a node that cannot start changes nothing; its log has the details"))]
    Node(cicadagw_node::Error),
    /// The main thread panicked.
    #[diagnostic(help("this is a fault of the program; its log has the place"))]
    Panicked,
    /// The settings file cannot be read.
    #[diagnostic(help("give the path of a readable settings file"))]
    Read(PathBuf, io::Error),
    /// The logger or the thread that waits for signals could not be set up.
    #[diagnostic(help("this is a fault of the program or of its host"))]
    Runtime(io::Error),
}

impl Error {
    /// Returns the reason on one line, with every finding.
    pub(crate) fn details(&self) -> String {
        let Self::Findings(report) = self else {
            return self.to_string();
        };
        let findings: Vec<_> = report.findings().map(ToString::to_string).collect();
        format!("{report}: {}", findings.join("; "))
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Findings(report) => write!(f, "{report}"),
            Self::Node(error) => write!(f, "{error}"),
            Self::Panicked => f.write_str("the main thread panicked"),
            Self::Read(path, error) => write!(f, "cannot read {}: {error}", path.display()),
            Self::Runtime(error) => write!(f, "the process cannot start: {error}"),
        }
    }
}

impl std::error::Error for Error {}
