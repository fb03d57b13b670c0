//! Messages between the control duty and the platform duty.

use cicadagw_platform::{Condition, Error, Key, Object, Revision};
use cicadagw_unit::time::Span;

use crate::Scope;

/// A request to the platform, with its purpose.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// What the request is for; returned with the reply.
    pub purpose: Purpose,
    /// The operation to perform.
    pub request: Request,
}

/// An operation on an object at the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Request {
    /// Read an object.
    Get(Key),
    /// Write an object.
    Put {
        /// Key of the object.
        key: Key,
        /// The new value.
        value: Vec<u8>,
        /// Condition under which the write takes place.
        condition: Condition,
    },
    /// Wait for a change of an object.
    Watch {
        /// Key of the object.
        key: Key,
        /// The last revision known.
        after: Revision,
        /// How long the platform may hold the request open.
        wait: Span,
    },
}

/// What a request to the platform is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Write the directory of the failure domain.
    Directory,
    /// Watch or read the head object.
    Head,
    /// Read or write the lease of this scope.
    Lease(Scope),
    /// Read the part at this index of the version that is fetched.
    Part(usize),
    /// Write the status of the failure domain.
    Status,
}

/// The response to a [`Call`], or the error.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// What the request was for.
    pub purpose: Purpose,
    /// The response, or why there is none.
    pub outcome: Result<Response, Error>,
}

/// A successful response of the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Response {
    /// The object read or changed; `None` if it does not exist or has not changed.
    Object(Option<Object>),
    /// The write succeeded and created this revision.
    Written(Revision),
}
