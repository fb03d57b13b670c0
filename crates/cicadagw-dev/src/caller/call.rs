//! One call.

use std::net::SocketAddr;
use std::rc::Rc;

use awc::error::SendRequestError;
use awc::http::header::HOST;
use compact_str::{CompactString, format_compact};
use tokio::time::Instant;

use super::report::Done;
use super::verdict::{REASON, text};
use super::{Load, Outcome};
use crate::backend::{ANSWER_BYTES, REQUEST_ID};

/// What all calls of a load share.
pub(crate) struct Calls {
    pub(crate) http: awc::Client,
    pub(crate) load: Load,
    /// What the ids of the requests begin with.
    pub(crate) prefix: CompactString,
}

/// Makes call `number`, which was due at `due`.
pub(crate) async fn call(calls: Rc<Calls>, number: u64, due: Instant) -> Done {
    let begin = Instant::now();
    let request = format_compact!("{}-{number}", calls.prefix);
    let (verdict, reason) = try_in_turn(&calls, number, &request).await;
    Done {
        request,
        verdict,
        reason,
        latency: begin.elapsed(),
        lag: begin.saturating_duration_since(due),
    }
}

/// Tries a call at one address after the other, as long as it surely did not run.
async fn try_in_turn(
    calls: &Calls,
    number: u64,
    request: &str,
) -> (Outcome, Option<CompactString>) {
    let mut attempt = 1;
    loop {
        let address = address(&calls.load, number + attempt - 1);
        let ended = send(calls, address, request).await;
        let may_try = attempt < u64::from(calls.load.attempts);
        match ended {
            Ok((Outcome::NotRun, _)) | Err(SendRequestError::Connect(_)) if may_try => attempt += 1,
            Ok(ended) => return ended,
            Err(_) => return (Outcome::NoResponse, None),
        }
    }
}

/// Returns the address that call `number` goes to.
fn address(load: &Load, number: u64) -> SocketAddr {
    let count = load.addresses.len() as u64;
    let index = usize::try_from(number % count).unwrap_or_default();
    load.addresses[index]
}

/// Sends one call and judges its answer. A reason is the node's.
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
        .insert_header((REQUEST_ID, request));
    if let Some(host) = &load.host {
        call = call.insert_header((HOST, host.as_str()));
    }
    if load.answer_bytes > 0 {
        call = call.insert_header((ANSWER_BYTES, load.answer_bytes));
    }
    let mut response = call.send_body(load.body.clone()).await?;
    let body = response.body().limit(usize::MAX).await.ok();
    let Some(body) = body else {
        return Ok((Outcome::Truncated, None));
    };
    let (status, headers) = (response.status(), response.headers());
    let least = load.answer_bytes;
    let verdict = Outcome::of(request, least, status, headers, &body);
    Ok((verdict, text(headers, REASON).map(Into::into)))
}
