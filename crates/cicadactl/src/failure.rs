//! Why a command did not succeed.

use std::fmt;

use cicadagw_accept::Error;
use cicadagw_finding::Findings;
use cicadagw_platform as platform;
use miette::Diagnostic;
use serde_json::{Value, json};

use crate::Exit;

/// Why a command did not succeed, and what to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// How the program ends.
    pub exit: Exit,
    /// What to do next.
    pub help: String,
    /// What happened.
    pub message: String,
}

impl Failure {
    /// Creates a failure.
    pub fn new(exit: Exit, message: impl Into<String>, help: impl Into<String>) -> Self {
        Self {
            exit,
            help: help.into(),
            message: message.into(),
        }
    }

    /// Returns the failure for scripts.
    pub fn json(&self) -> Value {
        json!({ "error": self.exit, "message": self.message, "help": self.help })
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Failure {}

impl Diagnostic for Failure {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(&self.help))
    }
}

impl From<Findings> for Failure {
    fn from(findings: Findings) -> Self {
        let count = findings.as_slice().len();
        Self::new(
            Exit::Refused,
            format!("{count} finding(s)\n{findings}"),
            "mend the file at these places, then run `cicadactl check` on it; nothing was changed",
        )
    }
}

impl From<platform::Error> for Failure {
    fn from(error: platform::Error) -> Self {
        Self::new(
            Exit::Unavailable,
            error.to_string(),
            "see that --platform names the platform's address, or try again when it is back; \
             nodes go on with what they hold",
        )
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        match error {
            Error::Platform(error) => error.into(),
            Error::Content(reason) => Self::new(
                Exit::Refused,
                format!("what the platform holds cannot be read: {reason}"),
                "apply a whole configuration with `cicadactl apply FILE`; nodes go on with what \
                 they hold",
            ),
        }
    }
}
