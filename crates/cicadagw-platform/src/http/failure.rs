//! Classification of failed calls.

use awc::error::{ConnectError, SendRequestError};

use crate::Error;
use crate::encoding::Effect;

/// The stage at which a call failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// No connection was established, so the platform did not receive the request.
    Connect(String),
    /// The request was sent at least in part, and no complete response arrived.
    Lost(String),
    /// The request could not be constructed.
    Invalid(String),
}

impl From<SendRequestError> for Failure {
    fn from(error: SendRequestError) -> Self {
        match error {
            // awc reports a connection that ends before the response as a connect error.
            SendRequestError::Connect(ConnectError::Disconnected) => {
                Self::Lost("the connection ended before the response".to_owned())
            }
            SendRequestError::Connect(error) => Self::Connect(error.to_string()),
            SendRequestError::Url(error) => Self::Invalid(error.to_string()),
            SendRequestError::Http(error) => Self::Invalid(error.to_string()),
            error => Self::Lost(error.to_string()),
        }
    }
}

impl Failure {
    /// Returns the error that the failure implies for a call with `effect`.
    pub(crate) fn into_error(self, effect: Effect) -> Error {
        match self {
            Self::Connect(reason) => Error::Unavailable(reason),
            Self::Lost(reason) => effect.lost(reason),
            Self::Invalid(reason) => Error::Refused(reason),
        }
    }
}
