//! One request sent and its answer's head received.

use actix_web::http::header::{self, HeaderMap};
use actix_web::http::uri::{Authority, Scheme};
use actix_web::http::{Method, StatusCode, Uri, Version};
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, ClientResponse};
use cicadagw_call::Reason;
use tokio::time::{Instant, timeout_at};

use crate::request::Request;
use crate::upload::Body;

/// Why there is no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// Nothing of the request went out.
    NotSent(Reason),
    /// The request, or a part of it, may have gone out.
    Sent(Reason),
}

/// Where a request is sent, and until when its answer is awaited.
pub(crate) struct Destination {
    pub(crate) client: Client,
    pub(crate) authority: Authority,
    pub(crate) until: Instant,
}

/// Sends `request` with `headers` and `body`, and awaits the head of the answer.
pub(crate) async fn exchange(
    destination: &Destination,
    request: &Request,
    headers: HeaderMap,
    body: Body,
) -> Result<ClientResponse, Failure> {
    let uri = Uri::builder()
        .scheme(Scheme::HTTP)
        .authority(destination.authority.clone())
        .path_and_query(request.path.clone())
        .build()
        .map_err(|_| Failure::NotSent(Reason::BadRequest))?;
    let client = &destination.client;
    // Else the client would add a header that the caller did not send.
    let mut outgoing = client.request(request.method.clone(), uri).no_decompress();
    *outgoing.headers_mut() = headers;
    let sent = outgoing.send_body(body);
    let response = request
        .wait(timeout_at(destination.until, sent))
        .await
        .map_err(|_| Failure::Sent(Reason::Deadline))?
        .map_err(|error| failure(&error))?;
    if is_framed(&response, &request.method) {
        Ok(response)
    } else {
        Err(Failure::Sent(Reason::Lost))
    }
}

/// Tells failures before the first byte from all others. The client reports a connection that ends
/// before its answer as `Disconnected`, so this one counts as sent.
fn failure(error: &SendRequestError) -> Failure {
    match error {
        SendRequestError::Url(_) => Failure::NotSent(Reason::BadRequest),
        SendRequestError::Connect(
            ConnectError::Io(_)
            | ConnectError::NoRecords
            | ConnectError::Resolver(_)
            | ConnectError::Timeout
            | ConnectError::Unresolved,
        ) => Failure::NotSent(Reason::Unreachable),
        _ => Failure::Sent(Reason::Lost),
    }
}

/// Tells whether the end of an answer can be told from a cut.
///
/// The client reads an answer without a length as empty, though it goes on until the connection
/// closes.
fn is_framed(response: &ClientResponse, method: &Method) -> bool {
    let status = response.status();
    let headers = response.headers();
    let has_length = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    if status.is_informational() {
        return false;
    }
    has_length || has_no_body(status, method) || response.version() < Version::HTTP_11
}

/// Tells whether an answer never has a body.
pub(crate) fn has_no_body(status: StatusCode, method: &Method) -> bool {
    *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
}
