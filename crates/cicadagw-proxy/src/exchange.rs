//! One request sent and its answer's head received.

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

/// Why there is no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// Nothing of the request went out.
    NotSent(Reason),
    /// The request, or a part of it, may have gone out.
    Sent(Reason, Option<Loss>),
}

/// Where a request is sent, and until when its answer is awaited.
pub(crate) struct Destination<'d> {
    pub(crate) pool: &'d Rc<Pool>,
    /// How long a connection may have been idle.
    pub(crate) idle_max: Duration,
    pub(crate) until: Instant,
    /// Set once the other side has said anything.
    pub(crate) is_responsive: &'d Cell<bool>,
    /// Which response field repeats the request's id.
    pub(crate) echo: Option<&'static str>,
}

/// Sends `request` with `fields` and `upload`, and awaits the head of the answer.
pub(crate) async fn exchange(
    destination: &Destination<'_>,
    request: &Request,
    fields: &Fields,
    upload: &Upload,
) -> Result<Response, Failure> {
    let opening = destination.pool.open(destination.idle_max);
    let opened = request.wait(timeout_at(destination.until, opening)).await;
    let connection = match opened {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => return Err(not_sent(&error)),
        Err(_) => return Err(Failure::NotSent(Reason::Unreachable)),
    };
    let mut rest = upload.take_rest();
    if rest.is_none() && !upload.is_replayable() {
        return Err(Failure::NotSent(Reason::Lost));
    }
    let outgoing = ClientRequest {
        head: request_head(&request.method, &request.target, fields, upload.framing()),
        method: &request.method,
        buffered: upload.beginning(),
        streamed: rest.as_mut().map(|rest| (rest, upload.framing())),
        is_responsive: destination.is_responsive,
    };
    let is_ours = |head: &cicadagw_http::Response| {
        let echoed = destination.echo.and_then(|name| head.fields.get(name));
        echoed.is_none_or(|echoed| request.attempt.as_ref() == Some(echoed))
    };
    let exchanging = connection.exchange(outgoing, is_ours);
    request
        .wait(timeout_at(destination.until, exchanging))
        .await
        .map_err(|_| Failure::Sent(Reason::Deadline, None))?
        .map_err(|loss| Failure::Sent(Reason::Lost, Some(loss)))
}

fn not_sent(error: &io::Error) -> Failure {
    log::debug!(error:%; "no connection could be made");
    Failure::NotSent(Reason::Unreachable)
}
