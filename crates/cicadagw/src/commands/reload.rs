//! Reloading of the settings while the node runs.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cicadagw_node::retry::until_started;
use cicadagw_ring::Receiver;
use cicadagw_settings::Settings;
use tokio::runtime::Builder;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::read::read_settings;
use super::signals::ReloadRequest;

/// How often the settings file is read again: it may change without a SIGHUP.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// The path of the settings file, and the settings from its last successful read.
#[derive(Clone)]
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

    /// Starts the thread that reads the file at once, on each request, and every
    /// [`RELOAD_INTERVAL`], until all senders of `requests` are dropped. A read may block, and no other
    /// thread waits for this one.
    ///
    /// # Errors
    ///
    /// Fails if the host lacks a resource, such as threads.
    pub(super) fn start(
        self,
        requests: Receiver<ReloadRequest>,
        stop: &CancellationToken,
    ) -> io::Result<()> {
        let requests = Arc::new(requests);
        let start = || {
            let runtime = Builder::new_current_thread().enable_time().build()?;
            let (reload, requests) = (self.clone(), requests.clone());
            thread::Builder::new()
                .name("reload".to_owned())
                .spawn(move || runtime.block_on(reload.run(&requests)))
        };
        until_started("reload", stop, start).map(drop)
    }

    /// Reads the file as [`Reload::start`] says.
    async fn run(mut self, requests: &Receiver<ReloadRequest>) {
        loop {
            self.reload();
            if let Ok(None) = timeout(RELOAD_INTERVAL, requests.recv()).await {
                return;
            }
        }
    }

    /// Reads the file again. A changed log level applies at once; all other changes apply from the
    /// next start on. A file that cannot be read or has findings changes nothing.
    fn reload(&mut self) {
        let settings = match read_settings(&self.path) {
            Ok(settings) => settings,
            Err(error) => {
                if !self.is_faulty {
                    log::error!(error = error.details(), next = "the node keeps its current settings"; "the settings cannot be reloaded");
                }
                self.is_faulty = true;
                return;
            }
        };
        if self.is_faulty {
            log::info!("the settings can be reloaded again");
        }
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
