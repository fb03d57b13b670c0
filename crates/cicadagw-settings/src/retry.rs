//! Whether a starting node reads its settings file again, without I/O: whoever writes the file may not
//! be done.

use std::io;

use cicadagw_unit::time::Span;

use crate::{Error, Settings};

/// The time between two reads.
pub const INTERVAL: Span = Span::new(50);

/// How long after the first read a file is read again.
pub const WAIT_MAX: Span = Span::seconds(5);

/// The outcome of one read of the settings file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Its content or its path is such that another read has the same outcome, unless an operator acts.
    Denied,
    /// It is missing, empty, cut short, or unreadable for a reason that may pass.
    Incomplete,
    /// It is complete, and has findings.
    Invalid,
    /// It is complete and valid.
    Valid,
}

/// What follows a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The settings are used.
    Accept,
    /// The start ends with the error of the read.
    GiveUp,
    /// The file is read again after this time.
    Wait(Span),
}

impl From<io::ErrorKind> for Outcome {
    fn from(kind: io::ErrorKind) -> Self {
        match kind {
            io::ErrorKind::InvalidFilename
            | io::ErrorKind::InvalidInput
            | io::ErrorKind::IsADirectory
            | io::ErrorKind::PermissionDenied => Self::Denied,
            _ => Self::Incomplete,
        }
    }
}

impl From<&Result<Settings, Error>> for Outcome {
    fn from(result: &Result<Settings, Error>) -> Self {
        match result {
            Ok(_) => Self::Valid,
            Err(Error::Content(_)) => Self::Invalid,
            Err(Error::Syntax(_)) => Self::Incomplete,
        }
    }
}

impl Step {
    /// Decides what follows a read with `outcome`, `elapsed` after the first one. `is_unchanged` says
    /// whether the text was that of the read before; the first read has no such text.
    pub fn after(outcome: Outcome, is_unchanged: bool, elapsed: Span) -> Self {
        match outcome {
            Outcome::Valid => Self::Accept,
            Outcome::Denied => Self::GiveUp,
            Outcome::Invalid if is_unchanged => Self::GiveUp,
            Outcome::Incomplete | Outcome::Invalid if elapsed >= WAIT_MAX => Self::GiveUp,
            Outcome::Incomplete | Outcome::Invalid => Self::Wait(INTERVAL),
        }
    }
}
