//! What a failed call means.

use awc::error::{ConnectError, SendRequestError};

use crate::Error;
use crate::encoding::Effect;

/// How far a call came.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// No connection was made, so the platform saw nothing of the call.
    Connect(String),
    /// The call was sent, perhaps in part, and no whole answer came.
    Lost(String),
    /// The call could not be composed.
    Invalid(String),
}

impl From<SendRequestError> for Failure {
    fn from(error: SendRequestError) -> Self {
        match error {
            // The library reports an end of the connection before the answer as this one.
            SendRequestError::Connect(ConnectError::Disconnected) => {
                Self::Lost("the connection ended before the answer".to_owned())
            }
            SendRequestError::Connect(error) => Self::Connect(error.to_string()),
            SendRequestError::Url(error) => Self::Invalid(error.to_string()),
            SendRequestError::Http(error) => Self::Invalid(error.to_string()),
            error => Self::Lost(error.to_string()),
        }
    }
}

impl Failure {
    /// Returns what the failure means for a call with `effect`.
    pub(crate) fn into_error(self, effect: Effect) -> Error {
        match self {
            Self::Connect(reason) => Error::Unavailable(reason),
            Self::Lost(reason) => effect.lost(reason),
            Self::Invalid(reason) => Error::Refused(reason),
        }
    }
}
