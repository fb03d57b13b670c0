//! Reading of the settings file, with all its findings as one report.

use std::fs;
use std::path::Path;

use cicadagw_report::Report;
use cicadagw_settings::{Settings, load};

use super::Error;

/// Reads and checks the settings file at `path`.
pub(super) fn read_settings(path: &Path) -> Result<Settings, Error> {
    let text = fs::read_to_string(path).map_err(|error| Error::Read(path.to_owned(), error))?;
    load(&path.display().to_string(), &text)
        .map_err(|findings| Error::Findings(Report::new(&findings, &text)))
}
