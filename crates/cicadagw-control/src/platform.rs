//! What passes between the control duty and the platform duty.

use cicadagw_platform::{Condition, Error, Key, Object, Revision};
use cicadagw_unit::time::Span;

use crate::Rank;

/// A call to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// What it is for; comes back with the reply.
    pub purpose: Purpose,
    /// What is asked.
    pub request: Request,
}

/// What is asked of the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Request {
    /// Read an object.
    Get(Key),
    /// Write an object.
    Put {
        /// The object.
        key: Key,
        /// Its new value.
        value: Vec<u8>,
        /// What must be true of it.
        condition: Condition,
    },
    /// Wait for a change of an object.
    Watch {
        /// The object.
        key: Key,
        /// The revision that is known.
        after: Revision,
        /// How long to wait.
        wait: Span,
    },
}

/// What a call is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// To write the directory.
    Directory,
    /// To learn of a change of the head.
    Head,
    /// To keep or learn of a lease.
    Lease(Rank),
    /// To fetch a part of a snapshot, by its place in the list of parts.
    Part(usize),
    /// To write the status.
    Status,
}

/// The answer to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// What the call was for.
    pub purpose: Purpose,
    /// What came of it.
    pub outcome: Result<Response, Error>,
}

/// What the platform answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Response {
    /// What was read; `None` when it is not there, or did not change.
    Object(Option<Object>),
    /// What was written has this revision.
    Written(Revision),
}
