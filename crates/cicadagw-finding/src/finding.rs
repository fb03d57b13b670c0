//! A single finding.

use std::fmt;

use crate::Location;

/// An error in a source, with its location and advice on how to resolve it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Finding {
    /// The location of the error.
    #[serde(rename = "place")]
    pub location: Location,
    /// A description of the error.
    pub message: String,
    /// Advice on how to resolve the error, if there is any.
    pub help: Option<String>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.message)?;
        match &self.help {
            Some(help) => write!(f, " ({help})"),
            None => Ok(()),
        }
    }
}
