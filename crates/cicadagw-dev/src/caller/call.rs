//! One call.

use std::net::SocketAddr;
use std::rc::Rc;

use awc::http::header::HOST;
use compact_str::{CompactString, format_compact};
use tokio::time::Instant;

use super::report::Done;
use super::verdict::{REASON, text};
use super::{Load, Verdict};
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
    let load = &calls.load;
    let request = format_compact!("{}-{number}", calls.prefix);
    let ended = send(&calls, address(load, number), &request).await;
    let (verdict, reason) = ended.unwrap_or((Verdict::Lost, None));
    Done {
        request,
        verdict,
        reason,
        latency: begin.elapsed(),
        lag: begin.saturating_duration_since(due),
    }
}

/// Returns the address that call `number` goes to.
fn address(load: &Load, number: u64) -> SocketAddr {
    let count = load.addresses.len() as u64;
    let index = usize::try_from(number % count).unwrap_or_default();
    load.addresses[index]
}

/// Sends one call and judges its answer; `None` when there is none. A reason is the node's.
async fn send(
    calls: &Calls,
    address: SocketAddr,
    request: &str,
) -> Option<(Verdict, Option<CompactString>)> {
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
    let mut response = call.send_body(load.body.clone()).await.ok()?;
    let body = response.body().limit(usize::MAX).await.ok();
    let Some(body) = body else {
        return Some((Verdict::Cut, None));
    };
    let (status, headers) = (response.status(), response.headers());
    let least = load.answer_bytes;
    let verdict = Verdict::of(request, least, status, headers, &body);
    Some((verdict, text(headers, REASON).map(Into::into)))
}
