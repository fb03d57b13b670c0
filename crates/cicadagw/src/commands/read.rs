//! Reading of the settings file, with all its findings as one report.

use std::fs;
use std::path::Path;

use cicadagw_report::Report;
use cicadagw_settings::retry::Outcome;
use cicadagw_settings::{Settings, parse};

use super::Error;

/// One read of the settings file.
pub(super) struct Read {
    /// Whether another read may have another outcome.
    pub(super) outcome: Outcome,
    /// The settings, or the reason why there are none.
    pub(super) settings: Result<Settings, Error>,
    /// The text of the file, if it could be read.
    pub(super) text: Option<String>,
}

impl Read {
    /// Reads and checks the settings file at `path` once.
    pub(super) fn new(path: &Path) -> Self {
        let text = match fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) => {
                return Self {
                    outcome: error.kind().into(),
                    settings: Err(Error::Read(path.to_owned(), error)),
                    text: None,
                };
            }
        };
        let parsed = parse(&path.display().to_string(), &text);
        Self {
            outcome: (&parsed).into(),
            settings: parsed
                .map_err(|error| Error::Findings(Report::new(&error.into_findings(), &text))),
            text: Some(text),
        }
    }
}

/// Reads and checks the settings file at `path`.
pub(super) fn read_settings(path: &Path) -> Result<Settings, Error> {
    Read::new(path).settings
}
