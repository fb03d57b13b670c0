//! The object API's handlers.

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

use super::calls::Kind;
use super::state::State;
use super::{Change, Entry, Refusal};
use crate::connection;

/// What a read may ask for besides.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Watch {
    after: Option<u64>,
    wait: Option<u64>,
}

/// Which keys a list is of.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Prefix {
    prefix: String,
}

/// Says that the faults let no call of this client pass.
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

/// Counts a call and lets the faults act on it.
async fn admit(state: &State, request: &HttpRequest, kind: Kind) -> Result<(), Down> {
    let delay = {
        let mut inner = state.lock();
        inner.stats.calls.count(kind);
        inner.fault.delay_ms
    };
    if delay > 0 {
        sleep(Duration::from_millis(delay)).await;
    }
    check(state, request)
}

/// Tells whether the faults let a call of this client pass.
fn check(state: &State, request: &HttpRequest) -> Result<(), Down> {
    let agent = request.headers().get(USER_AGENT).map(HeaderValue::to_str);
    let agent = agent.and_then(Result::ok).unwrap_or_default();
    let mut inner = state.lock();
    if inner.fault.serves(agent) {
        return Ok(());
    }
    inner.stats.failed += 1;
    Err(Down)
}

pub(crate) async fn get(
    state: web::Data<State>,
    request: HttpRequest,
    key: web::Path<String>,
    watch: web::Query<Watch>,
) -> Result<HttpResponse, Down> {
    let key = Key::from_wire(&key);
    match watch.after {
        None => read(&state, &request, &key).await,
        Some(after) => {
            let wait = Duration::from_millis(watch.wait.unwrap_or_default());
            wait_for(&state, &request, &key, Revision(after), wait).await
        }
    }
}

async fn read(state: &State, request: &HttpRequest, key: &Key) -> Result<HttpResponse, Down> {
    admit(state, request, Kind::Get).await?;
    let entry = state.lock().objects.get(key).cloned();
    Ok(entry.map_or_else(
        || HttpResponse::NotFound().finish(),
        |entry| answer(state, entry),
    ))
}

async fn wait_for(
    state: &State,
    request: &HttpRequest,
    key: &Key,
    after: Revision,
    wait: Duration,
) -> Result<HttpResponse, Down> {
    admit(state, request, Kind::Watch).await?;
    let end = Instant::now() + wait;
    let _waiting = Waiting::begin(state);
    loop {
        check(state, request)?;
        let (entry, mut news) = {
            let mut inner = state.lock();
            let entry = inner.objects.get(key).cloned();
            (entry, inner.subscribe(key))
        };
        if let Some(entry) = entry.filter(|entry| entry.revision > after) {
            return Ok(answer(state, entry));
        }
        if timeout_at(end, news.changed()).await.is_err() {
            return Ok(HttpResponse::NotModified().finish());
        }
    }
}

/// Counts a watch as waiting for as long as it lives.
struct Waiting<'s>(&'s State);

impl<'s> Waiting<'s> {
    fn begin(state: &'s State) -> Self {
        state.lock().stats.waiting += 1;
        Self(state)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.lock().stats.waiting -= 1;
    }
}

fn answer(state: &State, entry: Entry) -> HttpResponse {
    let sent = size::Bytes::new(entry.value.len() as u64);
    let mut inner = state.lock();
    inner.stats.sent = inner.stats.sent.plus(sent);
    tagged(HttpResponse::Ok(), entry.revision).body(entry.value)
}

fn tagged(mut builder: HttpResponseBuilder, revision: Revision) -> HttpResponseBuilder {
    builder.insert_header((ETAG, format(revision)));
    builder
}

pub(crate) async fn put(
    state: web::Data<State>,
    request: HttpRequest,
    key: web::Path<String>,
    value: Bytes,
) -> Result<HttpResponse, Down> {
    admit(&state, &request, Kind::Put).await?;
    let Some(condition) = condition(&request) else {
        return Ok(HttpResponse::BadRequest().body("the condition cannot be read"));
    };
    let key = Key::from_wire(&key);
    let mut inner = state.lock();
    let received = size::Bytes::new(value.len() as u64);
    inner.stats.received = inner.stats.received.plus(received);
    let answer = match inner.objects.put(key.clone(), value, condition) {
        Ok(revision) => {
            inner.announce(&key);
            if inner.fault.take_drop(key.as_str()) {
                inner.stats.failed += 1;
                connection::cut(&request);
            }
            tagged(HttpResponse::Ok(), revision).finish()
        }
        Err(Refusal::Conflict) => HttpResponse::PreconditionFailed().finish(),
        Err(Refusal::Long) => {
            HttpResponse::PayloadTooLarge().body("a value has at most 1048576 bytes")
        }
    };
    Ok(answer)
}

/// Reads the condition of a write; `None` when it cannot be read.
fn condition(request: &HttpRequest) -> Option<Condition> {
    let headers = request.headers();
    match (headers.get(IF_MATCH), headers.get(IF_NONE_MATCH)) {
        (None, None) => Some(Condition::Always),
        (Some(tag), None) => parse(tag.to_str().ok()?).map(Condition::Revision),
        (None, Some(tag)) => (tag.as_bytes() == b"*").then_some(Condition::Absent),
        (Some(_), Some(_)) => None,
    }
}

pub(crate) async fn delete(
    state: web::Data<State>,
    request: HttpRequest,
    key: web::Path<String>,
) -> Result<HttpResponse, Down> {
    admit(&state, &request, Kind::Delete).await?;
    state.lock().objects.delete(&Key::from_wire(&key));
    Ok(HttpResponse::NoContent().finish())
}

pub(crate) async fn list(
    state: web::Data<State>,
    request: HttpRequest,
    query: web::Query<Prefix>,
) -> Result<HttpResponse, Down> {
    admit(&state, &request, Kind::List).await?;
    let keys = state.lock().objects.keys(&query.prefix);
    Ok(HttpResponse::Ok().json(keys))
}

pub(crate) async fn control(state: web::Data<State>, change: web::Json<Change>) -> HttpResponse {
    let mut inner = state.lock();
    inner.change(change.into_inner());
    HttpResponse::Ok().json(&inner.fault)
}

pub(crate) async fn stats(state: web::Data<State>) -> HttpResponse {
    HttpResponse::Ok().json(state.lock().stats())
}
