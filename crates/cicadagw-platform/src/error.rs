//! What can go wrong with a call to the platform.

use std::fmt;

/// Says how a call to the platform failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The object is not in the state that the condition named; nothing was written.
    Conflict,
    /// The platform no longer knows what happened since the moment that the call names.
    Compacted,
    /// The platform did not take the call, so nothing was written; it may be tried again.
    Unavailable(String),
    /// The answer was lost: a write may or may not have taken effect.
    Unknown(String),
    /// The platform refuses the call whatever the moment; nothing was written.
    Refused(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict => f.write_str("the object was changed by somebody else"),
            Self::Compacted => f.write_str("the platform has dropped the history asked for"),
            Self::Unavailable(reason) => write!(f, "the platform is not available: {reason}"),
            Self::Unknown(reason) => write!(f, "the platform's answer was lost: {reason}"),
            Self::Refused(reason) => write!(f, "the platform refuses the call: {reason}"),
        }
    }
}

impl std::error::Error for Error {}
