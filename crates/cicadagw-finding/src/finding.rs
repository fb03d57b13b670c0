//! A single finding.

use std::fmt;

use crate::Location;

/// Something that is wrong, with its place and what to do next.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Finding {
    /// Where it was found.
    #[serde(rename = "place")]
    pub location: Location,
    /// What is wrong.
    pub message: String,
    /// What to do next, where there is something to say.
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
