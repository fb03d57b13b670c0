//! Authorization of requests by a bearer token.

use std::net::SocketAddr;

use actix_web::Error;
use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::header::AUTHORIZATION;
use actix_web::middleware::Next;
use actix_web::web::Data;

use crate::problem::Problem;

/// The authorization scheme that precedes the token in the header.
const SCHEME: &str = "Bearer ";

/// The only page of the listener that requires no token.
const METRICS: &str = "/metrics";

/// The expected token, if any, and the address of the listener that requires none.
pub(crate) struct Guard {
    token: Option<blake3::Hash>,
    open_address: Option<SocketAddr>,
}

impl Guard {
    /// Creates a guard. Without a `token` it admits every request; the listener on `open_address`
    /// admits every request for metrics, and no other.
    pub(crate) fn new(token: Option<&str>, open_address: Option<SocketAddr>) -> Self {
        Self {
            token: token.map(|token| blake3::hash(token.as_bytes())),
            open_address,
        }
    }

    /// Returns whether a request with this authorization header is admitted.
    ///
    /// The digests are compared in constant time, so the response time reveals nothing about the
    /// token.
    fn admits(&self, header: Option<&str>) -> bool {
        let Some(expected) = &self.token else {
            return true;
        };
        header
            .and_then(|header| header.strip_prefix(SCHEME))
            .is_some_and(|token| blake3::hash(token.as_bytes()) == *expected)
    }
}

/// The middleware that admits a request or refuses it with 401.
pub(crate) async fn check(
    guard: Data<Guard>,
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let header = request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|header| header.to_str().ok());
    if guard.open_address == Some(request.app_config().local_addr()) {
        if request.path() != METRICS {
            return Err(Problem::Unauthorized.into());
        }
        return next.call(request).await;
    }
    if !guard.admits(header) {
        log::warn!(path = request.path(); "refused a request for an admin page without a valid token");
        return Err(Problem::Unauthorized.into());
    }
    next.call(request).await
}
