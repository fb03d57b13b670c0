//! The backend server's handlers.

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

use super::answer::{ANSWER_BYTES, ANSWER_CHUNKED, Answer, REQUEST_ID};
use super::state::State;
use super::{Change, Close};
use crate::connection;

/// How many bytes of filler are sent at once.
const CHUNK: usize = 16 << 10;

/// How soon a call that was shed may be tried again, in seconds.
const RETRY_SECONDS: &str = "1";

pub(crate) async fn call(
    state: web::Data<State>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let _here = state.enter();
    let (shed, close, slow) = {
        let mut inner = state.lock();
        let shed = inner.fault.shed;
        inner.shed += u64::from(shed);
        let slow = Duration::from_millis(inner.fault.slow_ms);
        (shed, inner.fault.take_close(), slow)
    };
    if shed {
        return HttpResponse::ServiceUnavailable()
            .insert_header((RETRY_AFTER, RETRY_SECONDS))
            .body("shed");
    }
    if close == Some(Close::BeforeRun) {
        connection::cut(&request);
        return HttpResponse::Ok().finish();
    }
    let id = header(&request, REQUEST_ID).unwrap_or_default();
    let executions = state.lock().executions.count(&id);
    work(&state, slow).await;
    if close == Some(Close::AfterRun) {
        connection::cut(&request);
    }
    let answer = Answer {
        endpoint: state.backend.endpoint.clone(),
        executions,
        received: body.len(),
        request: id,
        service: state.backend.service.clone(),
    };
    respond(&request, &answer, close == Some(Close::MidAnswer))
}

/// Works on a call, once one of the places is free.
async fn work(state: &State, slow: Duration) {
    let work = Duration::from(state.backend.work) + slow;
    // A timer goes off up to a millisecond late, so none is set where there is nothing to wait for.
    if !work.is_zero() {
        // The semaphore is never closed.
        let _place = state.workers.acquire().await;
        sleep(work).await;
    }
}

/// Writes the answer in the length and form that the request asks for.
fn respond(request: &HttpRequest, answer: &Answer, cut: bool) -> HttpResponse {
    let line = Bytes::from(answer.line());
    let wanted = header(request, ANSWER_BYTES).and_then(|text| text.parse().ok());
    let length = line.len().max(wanted.unwrap_or_default());
    let mut builder = HttpResponse::Ok();
    builder.insert_header((CONTENT_TYPE, "text/plain"));
    if cut {
        let rest = stream::once(end_of(request.clone()));
        let whole = (length + 1) as u64;
        return builder.body(SizedStream::new(whole, filled(line, length).chain(rest)));
    }
    if header(request, ANSWER_CHUNKED).is_some() {
        return builder.streaming(filled(line, length));
    }
    builder.body(SizedStream::new(length as u64, filled(line, length)))
}

/// Ends the connection where the last byte of the answer is due.
async fn end_of(request: HttpRequest) -> io::Result<Bytes> {
    // The server sends what it has when nothing more is ready.
    yield_now().await;
    connection::cut(&request);
    Err(io::ErrorKind::ConnectionAborted.into())
}

/// Returns `line` and filler, `length` bytes together.
fn filled(line: Bytes, length: usize) -> impl Stream<Item = io::Result<Bytes>> + use<> {
    static FILLER: [u8; CHUNK] = [b'.'; CHUNK];
    let filler = length.saturating_sub(line.len());
    let chunks = (0..filler).step_by(CHUNK).map(move |begin| {
        let size = CHUNK.min(filler - begin);
        Bytes::from_static(&FILLER[..size])
    });
    stream::iter(std::iter::once(line).chain(chunks).map(Ok))
}

fn header(request: &HttpRequest, name: &str) -> Option<CompactString> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(Into::into)
}

pub(crate) async fn control(state: web::Data<State>, change: web::Json<Change>) -> HttpResponse {
    let mut inner = state.lock();
    inner.fault.apply(&change);
    HttpResponse::Ok().json(&inner.fault)
}

/// Answers for each of a list of request ids how often it ran.
pub(crate) async fn executions(
    state: web::Data<State>,
    requests: web::Json<Vec<CompactString>>,
) -> HttpResponse {
    let inner = state.lock();
    let counts: Vec<u32> = requests
        .iter()
        .map(|request| inner.executions.of(request))
        .collect();
    HttpResponse::Ok().json(counts)
}

pub(crate) async fn stats(state: web::Data<State>) -> HttpResponse {
    HttpResponse::Ok().json(state.stats())
}
