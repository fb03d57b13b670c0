//! Reloading of the settings while the node runs.

use std::path::PathBuf;

use cicadagw_settings::Settings;

use super::read::read_settings;

/// The path of the settings file, and the settings from its last successful read.
pub(super) struct Reload {
    path: PathBuf,
    settings: Settings,
    /// Whether the last read failed, so that a lasting failure is logged only once.
    is_faulty: bool,
}

impl Reload {
    /// Creates the state from the `settings` that were read from `path`.
    pub(super) const fn new(path: PathBuf, settings: Settings) -> Self {
        Self {
            path,
            settings,
            is_faulty: false,
        }
    }

    /// Reads the file again. A changed log level applies at once; all other changes apply from the
    /// next start on. A file that cannot be read or has findings changes nothing.
    pub(super) fn reload(&mut self) {
        let settings = match read_settings(&self.path) {
            Ok(settings) => settings,
            Err(error) => {
                if !self.is_faulty {
                    log::error!(error:%, next = "the node keeps its current settings"; "the settings cannot be reloaded");
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
        log::info!(next = "a changed log level applies now, and the rest from the next start on"; "the settings have changed");
        self.settings = settings;
    }
}
