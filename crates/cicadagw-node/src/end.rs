//! The ends of duties, and which of them a node reports.

use std::any::Any;
use std::fmt;
use std::io;
use std::thread;
use std::time::Instant;

use compact_str::CompactString;

use crate::Error;

/// Why a duty ended.
#[derive(Debug)]
pub enum Cause {
    /// It failed.
    Failed(io::Error),
    /// Its thread panicked with this message.
    Panicked(CompactString),
    /// The node was asked to stop.
    Request,
    /// It returned although the node was not asked to stop, as it does when a ring to another duty is
    /// closed.
    Returned,
}

/// The end of a duty.
#[derive(Debug)]
pub struct End {
    /// When it ended.
    pub at: Instant,
    /// Why it ended.
    pub cause: Cause,
    /// The name of the duty.
    pub name: &'static str,
}

impl Cause {
    /// Returns why a duty ended whose thread had this `outcome`, while the node was stopping or not.
    pub(crate) fn new(outcome: thread::Result<io::Result<()>>, is_stopping: bool) -> Self {
        match outcome {
            Ok(Ok(())) if is_stopping => Self::Request,
            Ok(Ok(())) => Self::Returned,
            Ok(Err(error)) => Self::Failed(error),
            Err(payload) => Self::Panicked(panic_message(payload)),
        }
    }

    /// Orders causes: a duty that returns early may do so because another one has failed.
    const fn rank(&self) -> u8 {
        match self {
            Self::Failed(_) | Self::Panicked(_) => 0,
            Self::Returned => 1,
            Self::Request => 2,
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(error) => write!(f, "{error}"),
            Self::Panicked(message) => write!(f, "its thread panicked: {message}"),
            Self::Request => f.write_str("the node was asked to stop"),
            Self::Returned => f.write_str("it returned although the node was not asked to stop"),
        }
    }
}

impl End {
    /// Creates the end of the duty `name` at this time.
    pub(crate) fn now(name: &'static str, cause: Cause) -> Self {
        let at = Instant::now();
        Self { at, cause, name }
    }

    /// Returns the outcome of a node whose duties had these ends.
    ///
    /// # Errors
    ///
    /// Fails with the reason of the first duty that failed or panicked, or else of the first one that
    /// returned early. The others ended because of it.
    pub fn outcome(ends: impl IntoIterator<Item = Self>) -> Result<(), Error> {
        let first = ends
            .into_iter()
            .min_by_key(|end| (end.cause.rank(), end.at));
        let Some(Self { cause, name, .. }) = first else {
            return Ok(());
        };
        match cause {
            Cause::Request => Ok(()),
            Cause::Failed(error) => Err(Error::Duty(name, error)),
            Cause::Panicked(_) | Cause::Returned => {
                Err(Error::Duty(name, io::Error::other(cause.to_string())))
            }
        }
    }
}

/// Returns the message of a panic, which may have any value as its payload.
pub(crate) fn panic_message(payload: Box<dyn Any + Send>) -> CompactString {
    match payload.downcast::<String>() {
        Ok(message) => CompactString::from(*message),
        Err(payload) => payload
            .downcast_ref::<&str>()
            .map_or_else(|| "unknown".into(), |message| CompactString::from(*message)),
    }
}
