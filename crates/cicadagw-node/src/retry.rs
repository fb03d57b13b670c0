//! Repeated starts while the host lacks a resource for a moment.

use std::io;
use std::thread;
use std::time::Instant;

use cicadagw_unit::time::Span;
use rustix::io::Errno;
use tokio_util::sync::CancellationToken;

/// The time between two attempts.
pub const PERIOD: Span = Span::new(100);

/// How long attempts are repeated.
pub const WAIT_MAX: Span = Span::seconds(5);

/// The errors that pass when other processes of the host end. Descriptors of this process alone
/// ([`Errno::MFILE`]) are not among them: nothing frees one during a start.
const PASSING: [Errno; 3] = [Errno::AGAIN, Errno::NFILE, Errno::NOMEM];

/// Returns the time until the next attempt after one that failed with `error`, `waited` after the
/// first one; `None` if there is none.
pub fn next(error: &io::Error, waited: Span) -> Option<Span> {
    let errno = Errno::from_io_error(error)?;
    (PASSING.contains(&errno) && waited < WAIT_MAX).then_some(PERIOD)
}

/// Repeats `start`, of the duty `name`, as [`next`] decides, and until `stop` is cancelled.
///
/// # Errors
///
/// Fails with the error of the last attempt.
pub fn until_started<T>(
    name: &'static str,
    stop: &CancellationToken,
    mut start: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let begin = Instant::now();
    let mut is_waiting = false;
    loop {
        let error = match start() {
            Ok(started) => return Ok(started),
            Err(error) => error,
        };
        let pause = next(&error, begin.elapsed().into()).filter(|_| !stop.is_cancelled());
        let Some(pause) = pause else {
            return Err(error);
        };
        if !is_waiting {
            is_waiting = true;
            log::warn!(duty = name, error:%, at_most_ms = WAIT_MAX.get(), next = "the start is repeated"; "a duty cannot start yet");
        }
        thread::sleep(pause.into());
    }
}
