//! Exit codes.

/// How the program ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Exit {
    /// The command did what it was asked.
    Ok,
    /// There are findings, or the change was refused; nothing changed.
    Refused,
    /// The command line is wrong; nothing was done.
    Usage,
    /// Another change came first; nothing changed.
    Conflict,
    /// The platform or the node could not be reached; nothing changed.
    Unavailable,
    /// The answer was lost: the change may or may not be accepted.
    Unknown,
    /// The time for waiting is over.
    Timeout,
}

impl Exit {
    /// Returns the code that the process ends with.
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
