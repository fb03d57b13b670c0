//! The handlers of the object API and of the test interface.

use std::fmt;
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::http::header::{ETAG, HeaderValue, IF_MATCH, IF_NONE_MATCH, USER_AGENT};
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder, ResponseError, web};
use bytes::Bytes;
use cicadagw_platform::encoding::tag::{format, parse};
use cicadagw_platform::{Condition, Key, Revision};
use cicadagw_unit::size;
use tokio::time::{Instant, sleep, timeout_at};

use super::state::State;
use super::stats::Kind;
use super::{Change, Entry, PutError};
use crate::connection;

/// The query of a read. With `after`, the read is a watch: it waits up to `wait` milliseconds for a
/// revision newer than `after`.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Watch {
    after: Option<u64>,
    wait: Option<u64>,
}

/// The query of a list: the prefix of its keys.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Prefix {
    prefix: String,
}

/// The error of a call that fails because of an injected fault.
#[derive(Debug)]
pub(crate) struct Down;

impl fmt::Display for Down {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the platform is down")
    }
}

impl ResponseError for Down {
    fn status_code(&self) -> StatusCode {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

/// Counts a call, then applies the injected delay and checks the injected outage.
async fn admit(state: &State, request: &HttpRequest, kind: Kind) -> Result<(), Down> {
    let delay = {
        let mut inner = state.lock();
        inner.stats.calls.count(kind);
        inner.faults.delay_ms
    };
    if delay > 0 {
        sleep(Duration::from_millis(delay)).await;
    }
    check_faults(state, request)
}

/// Returns an error if the injected faults make calls of this client fail.
fn check_faults(state: &State, request: &HttpRequest) -> Result<(), Down> {
    let agent = request.headers().get(USER_AGENT).map(HeaderValue::to_str);
    let agent = agent.and_then(Result::ok).unwrap_or_default();
    let mut inner = state.lock();
    if inner.faults.serves(agent) {
        return Ok(());
    }
    inner.stats.failed += 1;
    Err(Down)
}

/// Handles GET of an object: a plain read, or a watch if the query has `after`.
pub(crate) async fn get(
    state: web::Data<State>,
    request: HttpRequest,
    key: web::Path<String>,
    watch: web::Query<Watch>,
) -> Result<HttpResponse, Down> {
    let key = Key::from_wire(&key);
    match watch.after {
        None => get_now(&state, &request, &key).await,
        Some(after) => {
            let wait = Duration::from_millis(watch.wait.unwrap_or_default());
            long_poll(&state, &request, &key, Revision::new(after), wait).await
        }
    }
}

/// Responds with the object, or with status 404 if it does not exist.
async fn get_now(state: &State, request: &HttpRequest, key: &Key) -> Result<HttpResponse, Down> {
    admit(state, request, Kind::Get).await?;
    let entry = state.lock().objects.get(key).cloned();
    Ok(entry.map_or_else(
        || HttpResponse::NotFound().finish(),
        |entry| object_response(state, entry),
    ))
}

/// Responds once the revision of the object is newer than `after`, or with status 304 after `wait`.
async fn long_poll(
    state: &State,
    request: &HttpRequest,
    key: &Key,
    after: Revision,
    wait: Duration,
) -> Result<HttpResponse, Down> {
    admit(state, request, Kind::Watch).await?;
    let end = Instant::now() + wait;
    let _waiting = WaitingWatch::begin(state);
    loop {
        check_faults(state, request)?;
        let (entry, mut waker) = {
            let mut inner = state.lock();
            let entry = inner.objects.get(key).cloned();
            (entry, inner.subscribe(key))
        };
        if let Some(entry) = entry.filter(|entry| entry.revision > after) {
            return Ok(object_response(state, entry));
        }
        if timeout_at(end, waker.changed()).await.is_err() {
            return Ok(HttpResponse::NotModified().finish());
        }
    }
}

/// Counts a watch as waiting until this is dropped.
struct WaitingWatch<'s>(&'s State);

impl<'s> WaitingWatch<'s> {
    fn begin(state: &'s State) -> Self {
        state.lock().stats.waiting += 1;
        Self(state)
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.0.lock().stats.waiting -= 1;
    }
}

/// Responds with the value of `entry` and its revision as the entity tag.
fn object_response(state: &State, entry: Entry) -> HttpResponse {
    let sent = size::Bytes::new(entry.value.len() as u64);
    let mut inner = state.lock();
    inner.stats.sent = inner.stats.sent.plus(sent);
    with_etag(HttpResponse::Ok(), entry.revision).body(entry.value)
}

/// Adds `revision` as the entity tag.
fn with_etag(mut builder: HttpResponseBuilder, revision: Revision) -> HttpResponseBuilder {
    builder.insert_header((ETAG, format(revision)));
    builder
}

/// Handles PUT of an object, whose condition is in `if-match` or `if-none-match`.
pub(crate) async fn put(
    state: web::Data<State>,
    request: HttpRequest,
    key: web::Path<String>,
    value: Bytes,
) -> Result<HttpResponse, Down> {
    admit(&state, &request, Kind::Put).await?;
    let Some(condition) = condition(&request) else {
        return Ok(HttpResponse::BadRequest().body(
            "expected at most one condition: an entity tag in if-match, or * in if-none-match",
        ));
    };
    let key = Key::from_wire(&key);
    let mut inner = state.lock();
    let received = size::Bytes::new(value.len() as u64);
    inner.stats.received = inner.stats.received.plus(received);
    let response = match inner.objects.put(key.clone(), value, condition) {
        Ok(revision) => {
            inner.notify(&key);
            if inner.faults.take_dropped_response(key.as_str()) {
                inner.stats.failed += 1;
                connection::shut_down(&request);
            }
            with_etag(HttpResponse::Ok(), revision).finish()
        }
        Err(PutError::Conflict) => HttpResponse::PreconditionFailed().finish(),
        Err(PutError::TooLarge) => {
            HttpResponse::PayloadTooLarge().body("the value has more than 1048576 bytes")
        }
    };
    Ok(response)
}

/// Parses the condition of a write; returns `None` if it is malformed or both headers are present.
fn condition(request: &HttpRequest) -> Option<Condition> {
    let headers = request.headers();
    match (headers.get(IF_MATCH), headers.get(IF_NONE_MATCH)) {
        (None, None) => Some(Condition::Always),
        (Some(tag), None) => parse(tag.to_str().ok()?).map(Condition::Revision),
        (None, Some(tag)) => (tag.as_bytes() == b"*").then_some(Condition::Absent),
        (Some(_), Some(_)) => None,
    }
}

/// Handles DELETE of an object; one that does not exist is no error.
pub(crate) async fn delete(
    state: web::Data<State>,
    request: HttpRequest,
    key: web::Path<String>,
) -> Result<HttpResponse, Down> {
    admit(&state, &request, Kind::Delete).await?;
    state.lock().objects.delete(&Key::from_wire(&key));
    Ok(HttpResponse::NoContent().finish())
}

/// Responds with the keys that begin with the prefix of the query.
pub(crate) async fn list(
    state: web::Data<State>,
    request: HttpRequest,
    query: web::Query<Prefix>,
) -> Result<HttpResponse, Down> {
    admit(&state, &request, Kind::List).await?;
    let keys = state.lock().objects.keys(&query.prefix);
    Ok(HttpResponse::Ok().json(keys))
}

/// Updates the injected faults and responds with those that now apply.
pub(crate) async fn control(state: web::Data<State>, change: web::Json<Change>) -> HttpResponse {
    let mut inner = state.lock();
    inner.change(change.into_inner());
    HttpResponse::Ok().json(&inner.faults)
}

/// Responds with the statistics.
pub(crate) async fn stats(state: web::Data<State>) -> HttpResponse {
    HttpResponse::Ok().json(state.lock().stats())
}
