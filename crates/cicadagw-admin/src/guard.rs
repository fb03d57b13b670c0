//! The token that requests present.

use std::net::SocketAddr;

use actix_web::Error;
use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::header::AUTHORIZATION;
use actix_web::middleware::Next;
use actix_web::web::Data;

use crate::problem::Problem;

/// What stands before the token in the request header.
const SCHEME: &str = "Bearer ";

/// The page that everyone may see where it has a listener of its own.
const METRICS: &str = "/metrics";

/// Knows the token, if there is one, and the listener at which none is asked for.
pub(crate) struct Guard {
    token: Option<blake3::Hash>,
    open: Option<SocketAddr>,
}

impl Guard {
    /// Creates a guard; without a token it lets every request pass. At the listener on `open` only
    /// metrics are served.
    pub(crate) fn new(token: Option<&str>, open: Option<SocketAddr>) -> Self {
        Self {
            token: token.map(|token| blake3::hash(token.as_bytes())),
            open,
        }
    }

    /// Tells whether a request with this header may pass.
    ///
    /// The digests are compared in constant time, so the wait for an answer tells nothing.
    fn admits(&self, header: Option<&str>) -> bool {
        let Some(wanted) = &self.token else {
            return true;
        };
        header
            .and_then(|header| header.strip_prefix(SCHEME))
            .is_some_and(|token| blake3::hash(token.as_bytes()) == *wanted)
    }
}

/// Lets a request pass, or refuses it.
pub(crate) async fn check(
    guard: Data<Guard>,
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let header = request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|header| header.to_str().ok());
    if guard.open == Some(request.app_config().local_addr()) {
        if request.path() != METRICS {
            return Err(Problem::Token.into());
        }
        return next.call(request).await;
    }
    if !guard.admits(header) {
        log::warn!(path = request.path(); "refused a request for an admin page");
        return Err(Problem::Token.into());
    }
    next.call(request).await
}
