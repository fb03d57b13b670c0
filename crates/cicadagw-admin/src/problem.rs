//! Error responses.

use std::fmt;

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, ResponseError};

/// The reason why a request was not answered with a page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Problem {
    /// The control or gossip duty did not answer: its ring is full, it took too long, or it dropped the
    /// request.
    ControlTimeout,
    /// The request body is invalid.
    InvalidBody(String),
    /// The page could not be produced.
    Internal(String),
    /// The page does not support the method.
    MethodNotAllowed(String),
    /// No page has this path.
    PageNotFound(String),
    /// The request has no token or an invalid one, or the listener serves only metrics.
    Unauthorized,
}

/// The body of an error response.
#[derive(serde::Serialize)]
struct Body {
    error: String,
    help: &'static str,
}

impl Problem {
    /// Returns what the operator can do about the problem.
    const fn help(&self) -> &'static str {
        match self {
            Self::ControlTimeout => {
                "try again; if it persists, look at the fill of the rings in /metrics"
            }
            Self::InvalidBody(_) => r#"send {"level": "error"}, "warn", "info" or "debug""#,
            Self::Internal(_) => "look at the log of the node",
            Self::MethodNotAllowed(_) | Self::PageNotFound(_) => {
                "GET /live, /ready, /dump or /metrics, or PUT /log-level"
            }
            Self::Unauthorized => {
                "send the header `Authorization: Bearer` with admin_token of the settings"
            }
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ControlTimeout => f.write_str("the control duty did not answer the request"),
            Self::InvalidBody(reason) => write!(f, "the request body is invalid: {reason}"),
            Self::Internal(reason) => write!(f, "the page could not be produced: {reason}"),
            Self::MethodNotAllowed(method) => write!(f, "the page does not support {method}"),
            Self::PageNotFound(path) => write!(f, "there is no page {path}"),
            Self::Unauthorized => f.write_str("the token is missing or invalid"),
        }
    }
}

impl ResponseError for Problem {
    fn status_code(&self) -> StatusCode {
        match self {
            Self::ControlTimeout => StatusCode::GATEWAY_TIMEOUT,
            Self::InvalidBody(_) => StatusCode::BAD_REQUEST,
            Self::Internal(_) => StatusCode::INTERNAL_SERVER_ERROR,
            Self::MethodNotAllowed(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::PageNotFound(_) => StatusCode::NOT_FOUND,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
        }
    }

    fn error_response(&self) -> HttpResponse {
        HttpResponse::build(self.status_code()).json(Body {
            error: self.to_string(),
            help: self.help(),
        })
    }
}

/// Answers a request whose path no page has.
pub(crate) async fn page_not_found(request: HttpRequest) -> Result<HttpResponse, Problem> {
    Err(Problem::PageNotFound(request.path().to_owned()))
}

/// Answers a request with a method that the page does not support.
pub(crate) async fn method_not_allowed(request: HttpRequest) -> Result<HttpResponse, Problem> {
    Err(Problem::MethodNotAllowed(request.method().to_string()))
}
