//! The client of the object API.

use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::Arc;

use awc::Connector;
use awc::http::header::{CONTENT_LENGTH, CONTENT_TYPE, ETAG, HeaderMap, HeaderValue, USER_AGENT};
use awc::http::{self, StatusCode};
use bon::bon;
use bytes::Bytes;
use cicadagw_unit::time::Span;
use smallvec::SmallVec;

use super::failure::Failure;
use crate::encoding::{Effect, Encoding, Method, Native, Request, Response};
use crate::{Condition, Error, Freshness, Key, Object, Position, Revision, Store, Traffic};

/// The longest answer that is read, in bytes; objects have at most a megabyte.
const ANSWER_MAX: usize = 4 << 20;

/// A client of the object API, for one thread.
pub struct Client {
    addresses: SmallVec<[SocketAddr; 2]>,
    answer: Span,
    encoding: Arc<dyn Encoding>,
    http: awc::Client,
    /// The index of the address that took the last connection.
    preferred: Cell<usize>,
    traffic: Traffic,
}

#[bon]
impl Client {
    /// Creates a client that talks to the first of `addresses` that takes its connection.
    ///
    /// # Panics
    ///
    /// When `addresses` is empty.
    #[builder]
    pub fn new(
        /// Where the object API answers.
        addresses: &[SocketAddr],
        /// What the platform may know the process by.
        #[builder(default = "cicadagw")]
        agent: &str,
        /// How long an answer may take; a watch may take its wait besides.
        #[builder(default = Span::seconds(2))]
        answer: Span,
        /// How long the making of a connection may take.
        #[builder(default = Span::new(500))]
        connect: Span,
        /// How calls and answers stand on the wire.
        #[builder(default = Arc::new(Native))]
        encoding: Arc<dyn Encoding>,
        /// Where calls and bytes are counted.
        #[builder(default)]
        traffic: Traffic,
    ) -> Self {
        assert!(!addresses.is_empty(), "a platform has an address");
        let connector = Connector::new().timeout(connect.into());
        let http = awc::Client::builder()
            .connector(connector)
            .add_default_header((USER_AGENT, agent))
            .disable_redirects()
            .finish();
        Self {
            addresses: addresses.into(),
            answer,
            encoding,
            http,
            preferred: Cell::new(0),
            traffic,
        }
    }

    /// Returns the counts of calls and bytes.
    pub const fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Reads bytes that another node serves at `path`.
    ///
    /// # Errors
    ///
    /// When the node does not answer with them.
    pub async fn fetch(&self, address: SocketAddr, path: &str) -> Result<Bytes, Error> {
        let call = Request::read(path.to_owned());
        let answer = self.call_at(address, &call, self.answer).await;
        let answer = answer.map_err(|failure| failure.into_error(Effect::Read))?;
        match answer.status {
            200 => Ok(answer.body),
            _ => Err(answer.error(Effect::Read)),
        }
    }

    /// Makes a call with `effect`, whose answer may take `wait`.
    async fn call(&self, call: &Request, effect: Effect, wait: Span) -> Result<Response, Error> {
        let first = self.preferred.get();
        let mut failure = Failure::Connect("there is no address".to_owned());
        for turn in 0..self.addresses.len() {
            let index = (first + turn) % self.addresses.len();
            match self.call_at(self.addresses[index], call, wait).await {
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

    async fn call_at(
        &self,
        address: SocketAddr,
        call: &Request,
        wait: Span,
    ) -> Result<Response, Failure> {
        let url = format!("http://{address}{}", call.path);
        let mut request = self
            .http
            .request(method(call.method), url)
            .timeout(wait.into());
        for (name, value) in &call.fields {
            request = request.insert_header((*name, value.as_str()));
        }
        let length = call.body.as_ref().map_or(0, Bytes::len);
        let head = call.path.len() + request.get_method().as_str().len();
        let head = head + head_length(request.headers());
        let sending = match &call.body {
            Some(body) => request
                .insert_header_if_none((CONTENT_TYPE, "application/json"))
                .send_body(body.clone()),
            None => request.send(),
        };
        let outcome = sending.await.map_err(Failure::from);
        if !matches!(outcome, Err(Failure::Connect(_) | Failure::Invalid(_))) {
            self.traffic.count_sent(head + length);
        }
        let mut response = outcome?;
        let head = head_length(response.headers());
        let body = response.body().limit(ANSWER_MAX).await;
        let body = body.map_err(|error| Failure::Lost(error.to_string()))?;
        self.traffic.count_received(head + body.len());
        if !is_whole(response.headers(), response.status(), body.len()) {
            return Err(Failure::Lost("the answer is not whole".to_owned()));
        }
        let tag = response.headers().get(ETAG);
        let tag = tag.and_then(|tag| tag.to_str().ok()).map(Into::into);
        Ok(Response {
            body,
            status: response.status().as_u16(),
            tag,
        })
    }
}

const fn method(method: Method) -> http::Method {
    match method {
        Method::Delete => http::Method::DELETE,
        Method::Get => http::Method::GET,
        Method::Post => http::Method::POST,
        Method::Put => http::Method::PUT,
    }
}

/// Tells whether `length` bytes are the whole body that an answer with `headers` declares.
///
/// The library ends a body that was cut as if it were whole, so the declared length decides.
fn is_whole(headers: &HeaderMap, status: StatusCode, length: usize) -> bool {
    if matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return length == 0;
    }
    let declared = headers.get(CONTENT_LENGTH).map(HeaderValue::to_str);
    let declared = declared.and_then(|text| text.ok()?.parse().ok());
    declared == Some(length)
}

/// Returns the length of a head with `headers`, without what the library adds on sending.
fn head_length(headers: &HeaderMap) -> usize {
    /// `: ` and the line's end.
    const LINE: usize = 4;
    /// The protocol, the spaces of the first line and the empty line at the end.
    const FRAME: usize = 14;
    let lines = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + LINE);
    lines.sum::<usize>() + FRAME
}

impl Store for Client {
    async fn get(&self, key: &Key) -> Result<Option<Object>, Error> {
        let call = self.encoding.get(key);
        let answer = self.call(&call, Effect::Read, self.answer).await?;
        self.encoding.object(key, &answer)
    }

    async fn put(&self, key: &Key, value: Bytes, condition: Condition) -> Result<Revision, Error> {
        let call = self.encoding.put(key, &value, condition);
        let answer = self.call(&call, Effect::Write, self.answer).await?;
        self.encoding.written(&answer)
    }

    async fn watch(&self, key: &Key, after: Revision, wait: Span) -> Result<Option<Object>, Error> {
        Ok(self.follow(key, after, wait).await?.object)
    }

    async fn follow(&self, key: &Key, after: Revision, wait: Span) -> Result<Position, Error> {
        let call = self.encoding.follow(key, after, wait);
        let whole = Span::new(wait.get().saturating_add(self.answer.get()));
        let answer = self.call(&call, Effect::Read, whole).await?;
        self.encoding.position(key, after, &answer)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Key>, Error> {
        let objects = self.objects(prefix, Freshness::Newest).await?;
        Ok(objects.into_iter().map(|object| object.key).collect())
    }

    async fn objects(&self, prefix: &str, freshness: Freshness) -> Result<Vec<Object>, Error> {
        let mut objects: Vec<Object> = Vec::new();
        loop {
            let after = objects.last().map(|object| &object.key);
            let call = self.encoding.objects(prefix, after, freshness);
            let answer = self.call(&call, Effect::Read, self.answer).await?;
            let (listed, has_more) = self.encoding.listed(prefix, &answer)?;
            let is_empty = listed.is_empty();
            objects.extend(listed);
            if !has_more || is_empty {
                return Ok(objects);
            }
        }
    }

    async fn delete(&self, key: &Key) -> Result<(), Error> {
        let call = self.encoding.delete(key);
        let answer = self.call(&call, Effect::Write, self.answer).await?;
        self.encoding.deleted(&answer)
    }
}
