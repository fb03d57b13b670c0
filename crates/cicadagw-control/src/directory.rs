//! The directory of a failure domain, which its root writes to the platform: the nodes that have a
//! backend server, and the root.

use cicadagw_platform::Key;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_wire::Directory;

use crate::platform::{Call, Purpose};
use crate::status;

/// Minimum time between two writes of the directory.
const WRITE_INTERVAL_MIN: Span = Span::seconds(5);

/// Writes the directory when it has changed, at a bounded rate.
#[derive(Clone, Debug, Default)]
pub(crate) struct Writer {
    last_attempt: Option<Timestamp>,
    /// The directory that was written last, unless the write failed.
    written: Option<Directory>,
    in_flight: bool,
}

impl Writer {
    /// Returns the write that is due, if any.
    pub(crate) fn tick(&mut self, now: Timestamp, directory: Directory) -> Option<Call> {
        let is_early = self
            .last_attempt
            .is_some_and(|at| now.since(at) < WRITE_INTERVAL_MIN);
        if self.in_flight || is_early || self.written.as_ref() == Some(&directory) {
            return None;
        }
        let key = Key::directory(&directory.domain);
        let call = status::write(Purpose::Directory, key, &directory);
        self.last_attempt = Some(now);
        self.written = Some(directory);
        self.in_flight = true;
        Some(call)
    }

    /// Processes the response to a write; a failed write is retried.
    pub(crate) fn reply(&mut self, is_success: bool) {
        self.in_flight = false;
        if !is_success {
            self.written = None;
        }
    }

    /// Forgets what was written, since another root may overwrite it; used while the node is not a
    /// root.
    pub(crate) fn reset(&mut self) {
        self.written = None;
    }
}
