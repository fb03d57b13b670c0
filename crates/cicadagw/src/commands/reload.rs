//! Settings that change while the node runs.

use std::path::PathBuf;

use cicadagw_settings::Settings;

use super::read::read;

/// The settings that a node runs with, and the file that they came from.
pub(super) struct Reload {
    path: PathBuf,
    settings: Settings,
    /// Whether the last look found settings that cannot be used.
    is_faulty: bool,
}

impl Reload {
    pub(super) const fn new(path: PathBuf, settings: Settings) -> Self {
        Self {
            path,
            settings,
            is_faulty: false,
        }
    }

    /// Reads the file again. A changed log level holds at once; whatever else has changed holds from
    /// the next start on. A file that cannot be used changes nothing.
    pub(super) fn look(&mut self) {
        let settings = match read(&self.path) {
            Ok(settings) => settings,
            Err(error) => {
                if !self.is_faulty {
                    log::error!(error:%, next = "the node runs on with what it has"; "the settings cannot be used");
                }
                self.is_faulty = true;
                return;
            }
        };
        self.is_faulty = false;
        if settings == self.settings {
            return;
        }
        if settings.log != self.settings.log {
            cicadagw_log::set_level(settings.log);
        }
        log::info!(next = "a changed log level holds now, and the rest from the next start on"; "the settings have changed");
        self.settings = settings;
    }
}
