//! Failures of commands.

use std::fmt;

use cicadagw_accept::Error;
use cicadagw_finding::Findings;
use cicadagw_platform as platform;
use miette::Diagnostic;
use serde_json::{Value, json};

use crate::Exit;

/// The reason why a command failed, and what to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// The exit status of the program.
    pub exit: Exit,
    /// The findings in a file; empty for all other failures.
    pub findings: Findings,
    /// What to do next.
    pub help: String,
    /// The error message.
    pub message: String,
    /// The text of the file that has the findings; empty without findings.
    pub text: String,
}

impl Failure {
    /// Creates a failure without findings.
    pub fn new(exit: Exit, message: impl Into<String>, help: impl Into<String>) -> Self {
        Self {
            exit,
            findings: Findings::default(),
            help: help.into(),
            message: message.into(),
            text: String::new(),
        }
    }

    /// Creates a failure from the `findings` in a file with the content `text`.
    pub fn with_findings(findings: Findings, text: String) -> Self {
        let message = format!("{} finding(s)", findings.as_slice().len());
        let help = "fix the findings in the file; nothing was changed";
        Self {
            findings,
            text,
            ..Self::new(Exit::Refused, message, help)
        }
    }

    /// Returns the failure as JSON, for `--json`.
    pub fn json(&self) -> Value {
        json!({
            "error": self.exit,
            "findings": self.findings,
            "help": self.help,
            "message": self.message,
        })
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

impl From<platform::Error> for Failure {
    fn from(error: platform::Error) -> Self {
        Self::new(
            Exit::Unavailable,
            error.to_string(),
            "check that --platform gives the platform's address, or retry when the platform is \
             available; nodes continue with their current configuration",
        )
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        match error {
            Error::Platform(error) => error.into(),
            Error::Content(reason) => Self::new(
                Exit::Refused,
                format!("the configuration on the platform cannot be read: {reason}"),
                "apply a complete configuration with `cicadactl apply FILE`; nodes continue \
                 with their current configuration",
            ),
        }
    }
}
