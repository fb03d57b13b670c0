//! The handlers of the test backend server.

use std::io;
use std::time::Duration;

use actix_web::body::SizedStream;
use actix_web::http::header::{CONTENT_TYPE, RETRY_AFTER};
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::stream::{self, Stream, StreamExt};
use tokio::task::yield_now;
use tokio::time::sleep;

use super::echo::{Echo, REQUEST_ID_HEADER, RESPONSE_BYTES_HEADER, RESPONSE_CHUNKED_HEADER};
use super::state::State;
use super::{Change, Close};
use crate::connection;

/// The size of the chunks of padding, in bytes.
const PADDING_CHUNK_BYTES: usize = 16 << 10;

/// The value of `retry-after` in the response to a shed call, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";

/// Handles a call: executes it and responds with a description of the request ([`Echo`]), unless an
/// injected fault prevents that.
pub(crate) async fn call(
    state: web::Data<State>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let _in_flight = state.enter();
    let (shed, close, slow) = {
        let mut inner = state.lock();
        let shed = inner.faults.shed;
        inner.shed += u64::from(shed);
        let slow = Duration::from_millis(inner.faults.slow_ms);
        (shed, inner.faults.take_close(), slow)
    };
    if shed {
        return HttpResponse::ServiceUnavailable()
            .insert_header((RETRY_AFTER, RETRY_AFTER_SECONDS))
            .body("shed");
    }
    if close == Some(Close::BeforeExecution) {
        connection::shut_down(&request);
        return HttpResponse::Ok().finish();
    }
    let id = header(&request, REQUEST_ID_HEADER).unwrap_or_default();
    let executions = state.lock().executions.record(&id);
    execute(&state, slow).await;
    if close == Some(Close::AfterExecution) {
        connection::shut_down(&request);
    }
    let echo = Echo {
        endpoint: state.backend.endpoint.clone(),
        executions,
        received: body.len(),
        request: id,
        service: state.backend.service.clone(),
    };
    respond(&request, &echo, close == Some(Close::MidResponse))
}

/// Executes a call: waits for a free worker and sleeps for the configured time plus the injected
/// delay. A call of duration zero does neither, so the number of workers does not limit it.
async fn execute(state: &State, slow: Duration) {
    let duration = Duration::from(state.backend.work) + slow;
    // A timer fires up to a millisecond late, so a duration of zero sets none.
    if !duration.is_zero() {
        // The semaphore is never closed.
        let _permit = state.workers.acquire().await;
        sleep(duration).await;
    }
}

/// Returns a response with the size and transfer encoding that the request asks for. With
/// `truncate`, `content-length` declares one byte more than is sent, and the connection is closed
/// instead of sending it.
fn respond(request: &HttpRequest, echo: &Echo, truncate: bool) -> HttpResponse {
    let line = Bytes::from(echo.line());
    let requested = header(request, RESPONSE_BYTES_HEADER).and_then(|text| text.parse().ok());
    let length = line.len().max(requested.unwrap_or_default());
    let mut builder = HttpResponse::Ok();
    builder.insert_header((CONTENT_TYPE, "text/plain"));
    if truncate {
        let end = stream::once(close_connection(request.clone()));
        let declared = (length + 1) as u64;
        return builder.body(SizedStream::new(declared, padded(line, length).chain(end)));
    }
    if header(request, RESPONSE_CHUNKED_HEADER).is_some() {
        return builder.streaming(padded(line, length));
    }
    builder.body(SizedStream::new(length as u64, padded(line, length)))
}

/// Closes the connection in place of the last byte of a response body.
async fn close_connection(request: HttpRequest) -> io::Result<Bytes> {
    // Yielding lets the server send the chunks that are ready before the connection is closed.
    yield_now().await;
    connection::shut_down(&request);
    Err(io::ErrorKind::ConnectionAborted.into())
}

/// Returns `line` followed by padding, `length` bytes in all.
fn padded(line: Bytes, length: usize) -> impl Stream<Item = io::Result<Bytes>> + use<> {
    static PADDING: [u8; PADDING_CHUNK_BYTES] = [b'.'; PADDING_CHUNK_BYTES];
    let padding = length.saturating_sub(line.len());
    let chunks = (0..padding).step_by(PADDING_CHUNK_BYTES).map(move |begin| {
        let size = PADDING_CHUNK_BYTES.min(padding - begin);
        Bytes::from_static(&PADDING[..size])
    });
    stream::iter(std::iter::once(line).chain(chunks).map(Ok))
}

/// Returns the value of the request header `name`, if it is text.
fn header(request: &HttpRequest, name: &str) -> Option<CompactString> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(Into::into)
}

/// Updates the injected faults and responds with those that now apply.
pub(crate) async fn control(state: web::Data<State>, change: web::Json<Change>) -> HttpResponse {
    let mut inner = state.lock();
    inner.faults.apply(&change);
    HttpResponse::Ok().json(&inner.faults)
}

/// Responds with the number of executions of each request id in the body.
pub(crate) async fn executions(
    state: web::Data<State>,
    requests: web::Json<Vec<CompactString>>,
) -> HttpResponse {
    let inner = state.lock();
    let counts: Vec<u32> = requests
        .iter()
        .map(|request| inner.executions.count(request))
        .collect();
    HttpResponse::Ok().json(counts)
}

/// Responds with the statistics.
pub(crate) async fn stats(state: web::Data<State>) -> HttpResponse {
    HttpResponse::Ok().json(state.stats())
}
