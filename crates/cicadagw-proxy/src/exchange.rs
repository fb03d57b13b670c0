//! Sends a request and receives the head of its response.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use cicadagw_call::Reason;
use cicadagw_http::client::{Loss, Request as ClientRequest, Response};
use cicadagw_http::{Fields, Pool, request_head};
use tokio::time::{Instant, timeout_at};

use crate::request::Request;
use crate::upload::Upload;

/// The reason why there is no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// Nothing of the request was sent.
    NotSent(Reason),
    /// The request may have been sent, at least in part.
    Sent(Reason, Option<Loss>),
}

/// The destination of a request, and the deadline of its response.
pub(crate) struct Destination<'d> {
    pub(crate) pool: &'d Rc<Pool>,
    /// The maximum idle time of a reused connection.
    pub(crate) idle_max: Duration,
    pub(crate) deadline: Instant,
    /// Set once the server has sent any response head, including an interim one.
    pub(crate) has_responded: &'d Cell<bool>,
    /// The response field that repeats the id of the request, if the dialect has one.
    pub(crate) echo_field: Option<&'static str>,
}

/// Sends `request` with `fields` and `upload`, and waits for the response head.
pub(crate) async fn exchange(
    destination: &Destination<'_>,
    request: &Request,
    fields: &Fields,
    upload: &Upload,
) -> Result<Response, Failure> {
    let opening = destination.pool.open(destination.idle_max);
    let opened = request
        .track_wait(timeout_at(destination.deadline, opening))
        .await;
    let connection = match opened {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => return Err(not_sent(&error)),
        Err(_) => return Err(Failure::NotSent(Reason::Unreachable)),
    };
    let mut stream = upload.take_stream();
    if stream.is_none() && !upload.is_replayable() {
        return Err(Failure::NotSent(Reason::Lost));
    }
    let outgoing = ClientRequest {
        head: request_head(&request.method, &request.target, fields, upload.framing()),
        method: &request.method,
        buffered: upload.buffered(),
        streamed: stream.as_mut().map(|stream| (stream, upload.framing())),
        has_responded: destination.has_responded,
    };
    let is_ours = |head: &cicadagw_http::Response| {
        let echoed = destination
            .echo_field
            .and_then(|name| head.fields.get(name));
        echoed.is_none_or(|echoed| request.attempt.as_ref() == Some(echoed))
    };
    let exchanging = connection.exchange(outgoing, is_ours);
    request
        .track_wait(timeout_at(destination.deadline, exchanging))
        .await
        .map_err(|_| Failure::Sent(Reason::Deadline, None))?
        .map_err(|loss| {
            if loss == Loss::Silent {
                destination.pool.drop_idle();
            }
            Failure::Sent(Reason::Lost, Some(loss))
        })
}

fn not_sent(error: &io::Error) -> Failure {
    log::debug!(error:%; "failed to connect");
    Failure::NotSent(Reason::Unreachable)
}
