//! Calls and their answers, apart from the library that carries them.

use awc::http::StatusCode;
use bytes::Bytes;
use compact_str::CompactString;
use smallvec::SmallVec;

use crate::Error;

/// The longest part of an answer's text that an error repeats, in bytes.
const REASON_MAX: usize = 256;

/// The method of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Method {
    /// Removes.
    Delete,
    /// Reads.
    Get,
    /// Creates.
    Post,
    /// Replaces.
    Put,
}

/// Whether a call changes the platform's state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// It only reads.
    Read,
    /// It writes or removes.
    Write,
}

/// A call as it goes out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The body.
    pub body: Option<Bytes>,
    /// Header fields besides those that the library sets.
    pub fields: SmallVec<[(&'static str, CompactString); 2]>,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
}

/// A whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// The body.
    pub body: Bytes,
    /// The status code.
    pub status: u16,
    /// The entity tag, if there is one.
    pub tag: Option<CompactString>,
}

impl Request {
    /// Creates a call that only reads.
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
    /// Returns the error for a call whose answer did not come or says nothing.
    pub fn lost(self, reason: String) -> Error {
        match self {
            Self::Read => Error::Unavailable(reason),
            Self::Write => Error::Unknown(reason),
        }
    }
}

impl Response {
    /// Returns the error that an answer stands for which neither has what was asked for nor says
    /// anything else that the API knows.
    pub fn error(&self, effect: Effect) -> Error {
        match self.status {
            429 | 503 => Error::Unavailable(self.reason()),
            300..=499 => Error::Refused(self.reason()),
            _ => effect.lost(self.reason()),
        }
    }

    fn reason(&self) -> String {
        let length = self.body.len().min(REASON_MAX);
        let text = String::from_utf8_lossy(&self.body[..length]);
        match StatusCode::from_u16(self.status) {
            Ok(status) => format!("{status}: {text}"),
            Err(_) => format!("{}: {text}", self.status),
        }
    }
}
