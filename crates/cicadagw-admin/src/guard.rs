//! The token that requests present.

use actix_web::Error;
use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::header::AUTHORIZATION;
use actix_web::middleware::Next;
use actix_web::web::Data;

use crate::problem::Problem;

/// What stands before the token in the request header.
const SCHEME: &str = "Bearer ";

/// Knows the token, if there is one.
pub(crate) struct Guard(Option<blake3::Hash>);

impl Guard {
    /// Creates a guard; without a token it lets every request pass.
    pub(crate) fn new(token: Option<&str>) -> Self {
        Self(token.map(|token| blake3::hash(token.as_bytes())))
    }

    /// Tells whether a request with this header may pass.
    ///
    /// The digests are compared in constant time, so the wait for an answer tells nothing.
    fn admits(&self, header: Option<&str>) -> bool {
        let Some(wanted) = &self.0 else {
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
    if !guard.admits(header) {
        log::warn!(path = request.path(); "refused a request for an admin page");
        return Err(Problem::Token.into());
    }
    next.call(request).await
}
