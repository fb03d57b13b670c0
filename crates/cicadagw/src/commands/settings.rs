//! The settings of the start.

use std::io;
use std::path::Path;
use std::thread;
use std::time::Instant;

use cicadagw_node::retry::until_started;
use cicadagw_ring::channel;
use cicadagw_settings::Settings;
use cicadagw_settings::retry::Step;
use tokio::runtime::Builder;
use tokio_util::sync::CancellationToken;

use super::Error;
use super::read::Read;

/// Reads the settings file at `path`, unless `stop` is cancelled meanwhile: `None`. A file that may
/// still be written is read again for a while.
///
/// A thread of its own reads, since a read may block for as long as the host's file system does.
pub(super) fn read_for_start(
    path: &Path,
    stop: &CancellationToken,
) -> Result<Option<Settings>, Error> {
    let (sender, outcomes) = channel("settings", 1);
    let start = || {
        let (sender, path) = (sender.clone(), path.to_owned());
        let read = move || {
            // The receiver is gone if the node was stopped meanwhile.
            let _ = sender.try_send(read_with_retries(&path));
        };
        thread::Builder::new()
            .name("settings".to_owned())
            .spawn(read)
    };
    match until_started("settings", stop, start) {
        Err(_) if stop.is_cancelled() => return Ok(None),
        started => started.map_err(Error::Runtime)?,
    };
    // The thread has the only sender, so that its end is noticed.
    drop(sender);
    let runtime = Builder::new_current_thread()
        .build()
        .map_err(Error::Runtime)?;
    runtime.block_on(async {
        tokio::select! {
            outcome = outcomes.recv() => outcome.unwrap_or_else(|| Err(panicked())).map(Some),
            () = stop.cancelled() => Ok(None),
        }
    })
}

/// Reads the settings file at `path` until the outcome is final.
fn read_with_retries(path: &Path) -> Result<Settings, Error> {
    let begin = Instant::now();
    let mut previous: Option<Read> = None;
    loop {
        let read = Read::new(path);
        let is_unchanged = previous
            .as_ref()
            .is_some_and(|previous| previous.text.is_some() && previous.text == read.text);
        let elapsed = begin.elapsed().into();
        let span = match Step::after(read.outcome, is_unchanged, elapsed) {
            Step::Accept => {
                if previous.is_some() {
                    log::info!(path:% = path.display(), waited:% = elapsed; "the settings file is complete");
                }
                return read.settings;
            }
            Step::GiveUp => return read.settings,
            Step::Wait(span) => span,
        };
        if let (None, Err(error)) = (&previous, &read.settings) {
            log::warn!(path:% = path.display(), reason = error.details(), next = "it is read again for a few seconds"; "waiting for the settings file");
        }
        previous = Some(read);
        thread::sleep(span.into());
    }
}

/// Returns the error of a thread that ended without an outcome.
fn panicked() -> Error {
    let error = io::Error::other("its thread panicked");
    Error::Node(cicadagw_node::Error::Duty("settings", error))
}
