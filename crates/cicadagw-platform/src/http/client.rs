//! The HTTP client of the object API and of the snapshots of other nodes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::sync::Arc;

use awc::http::header::{CONTENT_LENGTH, CONTENT_TYPE, ETAG, HeaderMap, HeaderValue};
use awc::http::{self, StatusCode};
use bon::bon;
use bytes::Bytes;
use cicadagw_unit::time::Span;
use compact_str::CompactString;
use smallvec::SmallVec;
use tokio::time::{Instant, timeout_at};

use super::connector::new_http_client;
use super::failure::Failure;
use crate::encoding::{Effect, Encoding, Method, Native, Request, Response};
use crate::{
    Changes, Condition, Era, Error, Freshness, Key, Object, Position, Revision, Store, Traffic,
};

/// The maximum size of a response body, in bytes. An object has at most one megabyte; the response
/// to a list may hold several objects.
const RESPONSE_BODY_MAX: usize = 4 << 20;

/// The maximum number of pages of a list that are read. A page has about 500 objects.
const LIST_PAGES_MAX: usize = 64;

/// The size of the names and values of a list beyond which no further page is read, in bytes.
const LIST_BYTES_MAX: usize = 8 << 20;

/// An HTTP client of the object API; it is not `Sync`, so each thread uses a client of its own.
pub struct Client {
    addresses: SmallVec<[SocketAddr; 2]>,
    timeout: Span,
    encoding: Arc<dyn Encoding>,
    agent: CompactString,
    connect_timeout: Span,
    /// The HTTP client; it keeps idle connections.
    http: RefCell<awc::Client>,
    /// The index of the address that is tried first: that of the last call that did not fail to
    /// connect.
    preferred: Cell<usize>,
    /// The latest era of the store that a response has named.
    era: Cell<Option<Era>>,
    traffic: Traffic,
}

#[bon]
impl Client {
    /// Creates a client that tries `addresses` in order until one accepts a connection, and then
    /// starts with that one.
    ///
    /// # Panics
    ///
    /// Panics if `addresses` is empty.
    #[builder]
    pub fn new(
        /// The addresses of the object API.
        addresses: &[SocketAddr],
        /// The value of the `User-Agent` header.
        #[builder(default = "cicadagw")]
        agent: &str,
        /// The timeout of a call; the wait of a watch is added to it.
        #[builder(default = Span::seconds(2))]
        timeout: Span,
        /// The timeout of establishing a connection.
        #[builder(default = Span::new(500))]
        connect_timeout: Span,
        /// The encoding of requests and responses.
        #[builder(default = Arc::new(Native))]
        encoding: Arc<dyn Encoding>,
        /// The counters of calls and bytes.
        #[builder(default)]
        traffic: Traffic,
    ) -> Self {
        assert!(
            !addresses.is_empty(),
            "the client needs at least one platform address"
        );
        Self {
            addresses: addresses.into(),
            timeout,
            encoding,
            agent: agent.into(),
            connect_timeout,
            http: RefCell::new(new_http_client(agent, connect_timeout)),
            preferred: Cell::new(0),
            era: Cell::new(None),
            traffic,
        }
    }

    /// Returns the counters of calls and bytes.
    pub const fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Returns the latest era of the store that a response has named; `None` without one.
    pub const fn era(&self) -> Option<Era> {
        self.era.get()
    }

    /// Fetches the bytes that the node at `address` serves at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the node does not respond with status 200. The error is one of a platform call, so
    /// its text names the platform instead of the node.
    pub async fn fetch(&self, address: SocketAddr, path: &str) -> Result<Bytes, Error> {
        let request = Request::read(path.to_owned());
        let response = self.call_at(address, &request, self.timeout).await;
        let response = response.map_err(|failure| failure.into_error(Effect::Read))?;
        match response.status {
            200 => Ok(response.body),
            _ => Err(response.error(Effect::Read)),
        }
    }

    /// Returns the object if its revision is above `after`, without waiting for a change. The
    /// response may be seconds old; it costs less than that of [`Store::watch`].
    ///
    /// # Errors
    ///
    /// Fails if there is no valid response within `timeout`.
    pub async fn check(
        &self,
        key: &Key,
        after: Revision,
        timeout: Span,
    ) -> Result<Option<Object>, Error> {
        let request = self.encoding.check(key, after);
        let response = self.call(&request, Effect::Read, timeout).await?;
        require_era(&response, after)?;
        Ok(self.encoding.position(key, after, &response)?.object)
    }

    /// Returns the objects whose keys start with `prefix`, with their status; with `since`, waits for
    /// changes after a revision instead.
    ///
    /// # Errors
    ///
    /// Fails if there is no valid response in time, or the API has no status.
    pub async fn tracked(
        &self,
        prefix: &str,
        since: Option<(Revision, Span)>,
    ) -> Result<Changes, Error> {
        let request = self.encoding.tracked(prefix, since).ok_or_else(no_status)?;
        let wait = since.map_or(0, |(_, wait)| wait.get());
        let timeout = Span::new(wait.saturating_add(self.timeout.get()));
        let response = self.call(&request, Effect::Read, timeout).await?;
        if let Some((after, _)) = since {
            require_era(&response, after)?;
        }
        self.encoding.changes(prefix, &response)
    }

    /// Writes the status of an object if it has this revision, and returns its new revision.
    ///
    /// # Errors
    ///
    /// Fails like [`Store::put`], or if the API has no status.
    pub async fn put_status(
        &self,
        key: &Key,
        status: &Bytes,
        revision: Revision,
    ) -> Result<Revision, Error> {
        let request = self.encoding.put_status(key, status, revision);
        let request = request.ok_or_else(no_status)?;
        let response = self.call(&request, Effect::Write, self.timeout).await?;
        require_era(&response, revision)?;
        self.encoding.written(&response)
    }

    /// Sends `request`, which has `effect`, to the first address that accepts a connection.
    ///
    /// Only a failure to connect moves on to the next address: after it, the platform has not
    /// received the request.
    async fn call(
        &self,
        request: &Request,
        effect: Effect,
        timeout: Span,
    ) -> Result<Response, Error> {
        let first = self.preferred.get();
        let mut failure = Failure::Connect("no address is configured".to_owned());
        for offset in 0..self.addresses.len() {
            let index = (first + offset) % self.addresses.len();
            match self.call_at(self.addresses[index], request, timeout).await {
                Err(Failure::Connect(reason)) => {
                    failure = Failure::Connect(format!("{}: {reason}", self.addresses[index]));
                }
                outcome => {
                    self.preferred.set(index);
                    return outcome.map_err(|failure| failure.into_error(effect));
                }
            }
        }
        Err(failure.into_error(effect))
    }

    /// Sends `request` to `address`, and counts the bytes of a request that was sent and of a
    /// response whose body was received.
    async fn call_at(
        &self,
        address: SocketAddr,
        request: &Request,
        timeout: Span,
    ) -> Result<Response, Failure> {
        let deadline = Instant::now() + timeout.into();
        let url = format!("http://{address}{}", request.path);
        let outgoing = self.http.borrow().request(method(request.method), url);
        let mut outgoing = outgoing.timeout(timeout.into());
        for (name, value) in &request.fields {
            outgoing = outgoing.insert_header((*name, value.as_str()));
        }
        let length = request.body.as_ref().map_or(0, Bytes::len);
        let head = request.path.len() + outgoing.get_method().as_str().len();
        let head = head + head_length(outgoing.headers());
        let sending = match &request.body {
            Some(body) => outgoing
                .insert_header_if_none((CONTENT_TYPE, "application/json"))
                .send_body(body.clone()),
            None => outgoing.send(),
        };
        let outcome = sending.await.map_err(Failure::from);
        if matches!(outcome, Err(Failure::NoResponse(_))) {
            self.drop_idle_connections();
        }
        if !matches!(outcome, Err(Failure::Connect(_) | Failure::Invalid(_))) {
            self.traffic.count_sent(head + length);
        }
        let mut response = outcome?;
        let head = head_length(response.headers());
        // The timeout of awc is not checked while bytes arrive that are no part of the body, such as
        // an endless chunk extension.
        let receiving = timeout_at(deadline, response.body().limit(RESPONSE_BODY_MAX));
        let Ok(body) = receiving.await else {
            self.drop_idle_connections();
            let reason = "the response body did not end before the timeout".to_owned();
            return Err(Failure::NoResponse(reason));
        };
        let body = body.map_err(|error| Failure::NoResponse(error.to_string()))?;
        self.traffic.count_received(head + body.len());
        if !is_complete(response.headers(), response.status(), body.len()) {
            return Err(Failure::NoResponse(
                "the response is not complete".to_owned(),
            ));
        }
        let tag = response.headers().get(ETAG);
        let tag = tag.and_then(|tag| tag.to_str().ok()).map(Into::into);
        Ok(Response {
            body,
            era: self.observe_era(response.headers()),
            status: response.status().as_u16(),
            tag,
        })
    }
}

impl Client {
    /// Returns the era that a response with `headers` names, or else the latest one, and keeps the
    /// latest one.
    fn observe_era(&self, headers: &HeaderMap) -> Era {
        let latest = self.era.get();
        let field = self.encoding.era_field();
        let named = field.and_then(|field| headers.get(field)?.to_str().ok()?.parse().ok());
        self.era.set(latest.max(named));
        named.or(latest).unwrap_or_default()
    }

    /// Drops the idle connections. Whatever made one connection fall silent or end, such as a
    /// failover of the platform, has likely affected the others as well.
    fn drop_idle_connections(&self) {
        let fresh = new_http_client(&self.agent, self.connect_timeout);
        *self.http.borrow_mut() = fresh;
    }
}

/// Checks that the store has not been restored since the revision that the request named.
///
/// # Errors
///
/// Fails with [`Error::Restored`] if the response is one of another era.
fn require_era(response: &Response, revision: Revision) -> Result<(), Error> {
    if response.era == revision.era() {
        Ok(())
    } else {
        Err(Error::Restored)
    }
}

fn no_status() -> Error {
    Error::Refused("objects of this platform have no status".to_owned())
}

const fn method(method: Method) -> http::Method {
    match method {
        Method::Delete => http::Method::DELETE,
        Method::Get => http::Method::GET,
        Method::Post => http::Method::POST,
        Method::Put => http::Method::PUT,
    }
}

/// Returns whether `length` equals the content length that `headers` declare; a response that
/// declares none is incomplete, except with status 204 or 304, which must have no body.
///
/// awc reports a truncated body as complete, so its length is compared with `content-length`.
fn is_complete(headers: &HeaderMap, status: StatusCode, length: usize) -> bool {
    if matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return length == 0;
    }
    let declared = headers.get(CONTENT_LENGTH).map(HeaderValue::to_str);
    let declared = declared.and_then(|text| text.ok()?.parse().ok());
    declared == Some(length)
}

/// Returns the length of a message head with `headers`, without the headers that awc adds when it
/// sends the message.
fn head_length(headers: &HeaderMap) -> usize {
    /// The length of `: ` and of the line terminator, in bytes.
    const LINE_OVERHEAD: usize = 4;
    /// The length of the protocol version, of the spaces and the terminator of the first line, and
    /// of the empty line at the end, in bytes.
    const HEAD_OVERHEAD: usize = 14;
    let lines = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + LINE_OVERHEAD);
    lines.sum::<usize>() + HEAD_OVERHEAD
}

impl Store for Client {
    async fn get(&self, key: &Key) -> Result<Option<Object>, Error> {
        let request = self.encoding.get(key);
        let response = self.call(&request, Effect::Read, self.timeout).await?;
        self.encoding.object(key, &response)
    }

    async fn put(&self, key: &Key, value: Bytes, condition: Condition) -> Result<Revision, Error> {
        let request = self.encoding.put(key, &value, condition);
        let response = self.call(&request, Effect::Write, self.timeout).await?;
        if let Condition::Revision(revision) = condition {
            require_era(&response, revision)?;
        }
        self.encoding.written(&response)
    }

    async fn watch(&self, key: &Key, after: Revision, wait: Span) -> Result<Option<Object>, Error> {
        Ok(self.follow(key, after, wait).await?.object)
    }

    async fn follow(&self, key: &Key, after: Revision, wait: Span) -> Result<Position, Error> {
        let request = self.encoding.watch(key, after, wait);
        let timeout = Span::new(wait.get().saturating_add(self.timeout.get()));
        let response = self.call(&request, Effect::Read, timeout).await?;
        require_era(&response, after)?;
        self.encoding.position(key, after, &response)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Key>, Error> {
        let objects = self.objects(prefix, Freshness::Newest).await?;
        Ok(objects.into_iter().map(|object| object.key).collect())
    }

    async fn objects(&self, prefix: &str, freshness: Freshness) -> Result<Vec<Object>, Error> {
        let mut objects: Vec<Object> = Vec::new();
        let mut size = 0;
        for _ in 0..LIST_PAGES_MAX {
            let after = objects.last().map(|object| &object.key);
            let request = self.encoding.objects(prefix, after, freshness);
            let response = self.call(&request, Effect::Read, self.timeout).await?;
            let listing = self.encoding.listed(prefix, &response)?;
            if listing.unreadable > 0 {
                log::warn!(prefix, unreadable = listing.unreadable; "left out listed objects without a readable name");
            }
            let is_empty = listing.objects.is_empty();
            size += listing.objects.iter().map(Object::size).sum::<usize>();
            objects.extend(listing.objects);
            if !listing.has_more || is_empty {
                return Ok(objects);
            }
            if size > LIST_BYTES_MAX {
                break;
            }
        }
        log::warn!(prefix, objects = objects.len(), size; "left out the rest of a list that is too long");
        Ok(objects)
    }

    async fn delete(&self, key: &Key) -> Result<(), Error> {
        let request = self.encoding.delete(key);
        let response = self.call(&request, Effect::Write, self.timeout).await?;
        self.encoding.deleted(&response)
    }
}
