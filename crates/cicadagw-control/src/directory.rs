//! The directory of a failure domain, as its root writes it to the platform.

use cicadagw_platform::Key;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_wire::Directory;

use crate::platform::{Call, Purpose};
use crate::status;

/// The least time between two writes of the directory.
const GAP: Span = Span::seconds(5);

/// Writes the directory when it changed, at a bounded rate.
#[derive(Clone, Debug, Default)]
pub(crate) struct Writer {
    tried: Option<Timestamp>,
    written: Option<Directory>,
    in_flight: bool,
}

impl Writer {
    /// Returns the write that is due, if there is one.
    pub(crate) fn tick(&mut self, now: Timestamp, directory: Directory) -> Option<Call> {
        let is_early = self.tried.is_some_and(|at| now.since(at) < GAP);
        if self.in_flight || is_early || self.written.as_ref() == Some(&directory) {
            return None;
        }
        let key = Key::directory(&directory.domain);
        let call = status::write(Purpose::Directory, key, &directory);
        self.tried = Some(now);
        self.written = Some(directory);
        self.in_flight = true;
        Some(call)
    }

    /// Takes the answer to a write; a failed one is tried again.
    pub(crate) fn reply(&mut self, success: bool) {
        self.in_flight = false;
        if !success {
            self.written = None;
        }
    }

    /// Forgets what was written, since another root may write; for a node that is no root.
    pub(crate) fn reset(&mut self) {
        self.written = None;
    }
}
