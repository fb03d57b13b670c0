//! Errors of calls to the platform.

use std::fmt;

/// The reason why a call to the platform failed, and whether a write may have taken effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The object does not satisfy the condition of the call; nothing was written.
    Conflict,
    /// The platform has discarded the history after the revision that the call names.
    Compacted,
    /// The store has been restored from a copy, so the revision that the call names, of an earlier
    /// era, says nothing about the current one. A write may have taken effect.
    Restored,
    /// The platform did not process the call, so nothing was written; the call may be retried.
    Unavailable(String),
    /// No conclusive response to a write arrived, so it may or may not have taken effect.
    Unknown(String),
    /// The platform rejects the call permanently, or the request could not be constructed; nothing
    /// was written.
    Refused(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict => f.write_str("the object was changed concurrently"),
            Self::Compacted => f.write_str("the platform has discarded the requested history"),
            Self::Restored => f.write_str(
                "the platform's store has been restored from a copy since that revision",
            ),
            Self::Unavailable(reason) => write!(f, "the platform is not available: {reason}"),
            Self::Unknown(reason) => write!(f, "the response of the platform was lost: {reason}"),
            Self::Refused(reason) => write!(f, "the platform rejects the call: {reason}"),
        }
    }
}

impl std::error::Error for Error {}
