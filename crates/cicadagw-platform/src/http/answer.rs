//! Answers of the platform.

use awc::http::StatusCode;
use awc::http::header::{CONTENT_LENGTH, ETAG, HeaderMap, HeaderValue};
use bytes::Bytes;

use super::failure::{Effect, lost};
use super::tag;
use crate::{Error, Revision};

/// The longest part of an answer's text that an error repeats, in bytes.
const REASON_MAX: usize = 256;

/// A whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) tag: Option<Revision>,
    pub(crate) body: Bytes,
}

impl Answer {
    /// Returns the revision that an answer to a call with `effect` must name.
    pub(crate) fn revision(&self, effect: Effect) -> Result<Revision, Error> {
        self.tag
            .ok_or_else(|| lost(effect, "an answer without a revision".to_owned()))
    }

    /// Returns the error that an answer other than the good ones stands for.
    pub(crate) fn error(&self, effect: Effect) -> Error {
        match self.status {
            StatusCode::PRECONDITION_FAILED => Error::Conflict,
            StatusCode::SERVICE_UNAVAILABLE => Error::Unavailable(self.reason()),
            status if status.is_client_error() || status.is_redirection() => {
                Error::Refused(self.reason())
            }
            _ => lost(effect, self.reason()),
        }
    }

    fn reason(&self) -> String {
        let length = self.body.len().min(REASON_MAX);
        let text = String::from_utf8_lossy(&self.body[..length]);
        format!("{}: {text}", self.status)
    }
}

/// Tells whether `length` bytes are the whole body that an answer with `headers` declares.
///
/// The library ends a body that was cut as if it were whole, so the declared length decides.
pub(crate) fn is_whole(headers: &HeaderMap, status: StatusCode, length: usize) -> bool {
    if matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return length == 0;
    }
    let declared = headers.get(CONTENT_LENGTH).map(HeaderValue::to_str);
    let declared = declared.and_then(|text| text.ok()?.parse().ok());
    declared == Some(length)
}

/// Reads the revision that an answer's head names.
pub(crate) fn revision_of(headers: &HeaderMap) -> Option<Revision> {
    tag::parse(headers.get(ETAG)?.to_str().ok()?)
}
