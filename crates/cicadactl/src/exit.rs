//! The exit status of the program.

/// The exit status of the program; failures carry its name as `error` in their JSON.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Exit {
    /// The command succeeded.
    Ok,
    /// A file cannot be read or has findings, the request was refused, or the configuration on the
    /// platform cannot be read; nothing was changed.
    Refused,
    /// The command line is invalid; nothing was done.
    Usage,
    /// Another change was accepted first; nothing was changed.
    Conflict,
    /// The platform or the node could not be reached, or reported an error; nothing was changed.
    Unavailable,
    /// The response was lost, so the change may or may not have been accepted.
    Unknown,
    /// `status --wait` timed out.
    Timeout,
}

impl Exit {
    /// Returns the exit code of the process.
    pub const fn code(self) -> u8 {
        match self {
            Self::Ok => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Unavailable => 4,
            Self::Unknown => 5,
            Self::Timeout => 6,
        }
    }
}
