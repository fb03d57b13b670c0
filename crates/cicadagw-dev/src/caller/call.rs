//! Sends one call.

use std::net::SocketAddr;
use std::rc::Rc;

use awc::error::SendRequestError;
use awc::http::header::HOST;
use compact_str::{CompactString, format_compact};
use tokio::time::Instant;

use super::outcome::{REASON_HEADER, header};
use super::report::CallResult;
use super::{Load, Outcome};
use crate::backend::{REQUEST_ID_HEADER, RESPONSE_BYTES_HEADER};

/// The state that all calls of a load share.
pub(crate) struct Calls {
    pub(crate) http: awc::Client,
    pub(crate) load: Load,
    /// The prefix of the request ids; the number of the call follows.
    pub(crate) prefix: CompactString,
}

/// Sends call `number`, which was due at `due`, and returns its result.
pub(crate) async fn call(calls: Rc<Calls>, number: u64, due: Instant) -> CallResult {
    let begin = Instant::now();
    let request = format_compact!("{}-{number}", calls.prefix);
    let (outcome, reason) = call_with_retries(&calls, number, &request).await;
    CallResult {
        request,
        outcome,
        reason,
        latency: begin.elapsed(),
        lag: begin.saturating_duration_since(due),
    }
}

/// Sends a call to one address after the other, while it was certainly not executed and attempts
/// remain.
async fn call_with_retries(
    calls: &Calls,
    number: u64,
    request: &str,
) -> (Outcome, Option<CompactString>) {
    let mut attempt = 1;
    loop {
        let address = address(&calls.load, number + attempt - 1);
        let result = send(calls, address, request).await;
        let retry = attempt < u64::from(calls.load.attempts);
        match result {
            Ok((Outcome::NotExecuted, _)) | Err(SendRequestError::Connect(_)) if retry => {
                attempt += 1;
            }
            Ok(result) => return result,
            Err(_) => return (Outcome::NoResponse, None),
        }
    }
}

/// Returns the address for `number`; the addresses take turns.
fn address(load: &Load, number: u64) -> SocketAddr {
    let count = load.addresses.len() as u64;
    let index = usize::try_from(number % count).unwrap_or_default();
    load.addresses[index]
}

/// Sends one call and classifies its response; also returns the reason that the node gave, if any.
async fn send(
    calls: &Calls,
    address: SocketAddr,
    request: &str,
) -> Result<(Outcome, Option<CompactString>), SendRequestError> {
    let load = &calls.load;
    let url = format!("http://{address}{}", load.path);
    let mut call = calls
        .http
        .request(load.method.clone(), url)
        .timeout(load.timeout.into())
        .insert_header((REQUEST_ID_HEADER, request));
    if let Some(host) = &load.host {
        call = call.insert_header((HOST, host.as_str()));
    }
    if load.min_response_bytes > 0 {
        call = call.insert_header((RESPONSE_BYTES_HEADER, load.min_response_bytes));
    }
    let mut response = call.send_body(load.body.clone()).await?;
    let body = response.body().limit(usize::MAX).await.ok();
    let Some(body) = body else {
        return Ok((Outcome::Truncated, None));
    };
    let (status, headers) = (response.status(), response.headers());
    let min_bytes = load.min_response_bytes;
    let outcome = Outcome::classify(request, min_bytes, status, headers, &body);
    Ok((outcome, header(headers, REASON_HEADER).map(Into::into)))
}
