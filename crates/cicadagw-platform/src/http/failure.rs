//! Classification of failed calls.

use awc::error::{ConnectError, SendRequestError};

use crate::Error;
use crate::encoding::Effect;

/// How a call failed, which decides whether the request may have been processed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// No connection was established, so the platform did not receive the request.
    Connect(String),
    /// The request may have been processed, but no complete and valid response arrived.
    NoResponse(String),
    /// The request could not be constructed, so nothing was sent.
    Invalid(String),
}

impl From<SendRequestError> for Failure {
    fn from(error: SendRequestError) -> Self {
        match error {
            // awc reports a connection that ends before the response as a connect error.
            SendRequestError::Connect(ConnectError::Disconnected) => {
                Self::NoResponse("the connection ended before the response".to_owned())
            }
            SendRequestError::Connect(error) => Self::Connect(error.to_string()),
            SendRequestError::Url(error) => Self::Invalid(error.to_string()),
            SendRequestError::Http(error) => Self::Invalid(error.to_string()),
            error => Self::NoResponse(error.to_string()),
        }
    }
}

impl Failure {
    /// Converts the failure of a call with `effect` into its error.
    pub(crate) fn into_error(self, effect: Effect) -> Error {
        match self {
            Self::Connect(reason) => Error::Unavailable(reason),
            Self::NoResponse(reason) => effect.lost(reason),
            Self::Invalid(reason) => Error::Refused(reason),
        }
    }
}
