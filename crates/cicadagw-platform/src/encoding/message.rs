//! Requests and responses, independent of the HTTP library.

use awc::http::StatusCode;
use bytes::Bytes;
use compact_str::CompactString;
use smallvec::SmallVec;

use crate::{Era, Error, Object};

/// The maximum length of the part of a response body that an error quotes, in bytes.
const REASON_MAX: usize = 256;

/// The method of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Method {
    /// Deletes an object.
    Delete,
    /// Reads or lists objects.
    Get,
    /// Creates an object.
    Post,
    /// Replaces an object.
    Put,
}

/// Whether a call changes the state of the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The call only reads.
    Read,
    /// The call writes or deletes.
    Write,
}

/// A request to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The body, if there is one.
    pub body: Option<Bytes>,
    /// The header fields in addition to those that the HTTP library sets.
    pub fields: SmallVec<[(&'static str, CompactString); 2]>,
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub path: String,
}

/// A complete response of the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// The body.
    pub body: Bytes,
    /// The era of the store; that of the response before if the response names none.
    pub era: Era,
    /// The status code.
    pub status: u16,
    /// The entity tag, if there is one.
    pub tag: Option<CompactString>,
}

/// A list of objects, or a part of one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// The objects, in the order of their keys. One without a readable value has the value `null`.
    pub objects: Vec<Object>,
    /// How many objects were left out because they have no readable key.
    pub unreadable: usize,
    /// Whether more objects follow the last one.
    pub has_more: bool,
}

impl Request {
    /// Creates a GET request without a body.
    pub fn read(path: String) -> Self {
        Self {
            body: None,
            fields: SmallVec::new(),
            method: Method::Get,
            path,
        }
    }
}

impl Effect {
    /// Returns the error of a call whose response did not arrive or is not conclusive: a read counts
    /// as unavailable and may be retried, whereas a write may or may not have taken effect.
    pub fn lost(self, reason: String) -> Error {
        match self {
            Self::Read => Error::Unavailable(reason),
            Self::Write => Error::Unknown(reason),
        }
    }
}

impl Response {
    /// Returns the error of a call with `effect` whose response has a status that the API does not
    /// define for the call.
    pub fn error(&self, effect: Effect) -> Error {
        match self.status {
            429 | 503 => Error::Unavailable(self.reason()),
            300..=499 => Error::Refused(self.reason()),
            _ => effect.lost(self.reason()),
        }
    }

    /// Returns the status and the beginning of the body.
    fn reason(&self) -> String {
        let length = self.body.len().min(REASON_MAX);
        let text = String::from_utf8_lossy(&self.body[..length]);
        match StatusCode::from_u16(self.status) {
            Ok(status) => format!("{status}: {text}"),
            Err(_) => format!("{}: {text}", self.status),
        }
    }
}
