//! Log levels.

use std::fmt;
use std::str::FromStr;

use cicadagw_unit::Error;

/// The severity of a log record.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// An operation failed and needs attention.
    Error,
    /// Something unexpected happened, and the process handled it.
    Warn,
    /// A state change of normal operation.
    #[default]
    Info,
    /// Details for troubleshooting.
    Debug,
}

impl Level {
    /// All levels, in order of decreasing severity.
    pub const ALL: [Self; 4] = [Self::Error, Self::Warn, Self::Info, Self::Debug];

    /// Returns the name of the level.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
        }
    }
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Level {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        Self::ALL
            .into_iter()
            .find(|level| level.as_str() == text)
            .ok_or_else(|| Error::new("log level", text, "error, warn, info or debug"))
    }
}
