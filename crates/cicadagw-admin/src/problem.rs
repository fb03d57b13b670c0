//! Answers that say what went wrong.

use std::fmt;

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, ResponseError};

/// Why a request got no page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Problem {
    /// The control duty does not answer.
    Busy,
    /// The body is not what the page takes.
    Body(String),
    /// Nothing can be shown.
    Internal(String),
    /// The page does not take the method.
    Method(String),
    /// There is no such page.
    Page(String),
    /// The token is missing or wrong.
    Token,
}

/// The body of an answer that says what went wrong.
#[derive(serde::Serialize)]
struct Body {
    error: String,
    help: &'static str,
}

impl Problem {
    const fn help(&self) -> &'static str {
        match self {
            Self::Busy => "ask again; if it stays, look at the fill of the rings in /metrics",
            Self::Body(_) => r#"send {"level": "error"}, "warn", "info" or "debug""#,
            Self::Internal(_) => "look into the log of the node",
            Self::Method(_) | Self::Page(_) => {
                "GET /live, /ready, /dump or /metrics, or PUT /log-level"
            }
            Self::Token => {
                "send the header `Authorization: Bearer` with admin_token of the settings"
            }
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Busy => f.write_str("the control duty does not answer"),
            Self::Body(reason) => write!(f, "the body cannot be used: {reason}"),
            Self::Internal(reason) => write!(f, "nothing can be shown: {reason}"),
            Self::Method(method) => write!(f, "the page does not take {method}"),
            Self::Page(path) => write!(f, "there is no page {path}"),
            Self::Token => f.write_str("the token is missing or wrong"),
        }
    }
}

impl ResponseError for Problem {
    fn status_code(&self) -> StatusCode {
        match self {
            Self::Busy => StatusCode::GATEWAY_TIMEOUT,
            Self::Body(_) => StatusCode::BAD_REQUEST,
            Self::Internal(_) => StatusCode::INTERNAL_SERVER_ERROR,
            Self::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::Page(_) => StatusCode::NOT_FOUND,
            Self::Token => StatusCode::UNAUTHORIZED,
        }
    }

    fn error_response(&self) -> HttpResponse {
        HttpResponse::build(self.status_code()).json(Body {
            error: self.to_string(),
            help: self.help(),
        })
    }
}

/// Answers a request for a page that is not there.
pub(crate) async fn no_page(request: HttpRequest) -> Result<HttpResponse, Problem> {
    Err(Problem::Page(request.path().to_owned()))
}

/// Answers a request with a method that the page does not take.
pub(crate) async fn wrong_method(request: HttpRequest) -> Result<HttpResponse, Problem> {
    Err(Problem::Method(request.method().to_string()))
}
