//! The client of the object API.

use std::cell::Cell;
use std::net::SocketAddr;

use awc::http::header::{HeaderMap, IF_MATCH, IF_NONE_MATCH, USER_AGENT};
use awc::http::{Method, StatusCode};
use awc::{ClientRequest, Connector};
use bon::bon;
use bytes::Bytes;
use cicadagw_unit::time::Span;
use smallvec::SmallVec;

use super::answer::{Answer, is_whole, revision_of};
use super::failure::{Effect, Failure};
use super::{path, tag};
use crate::{Condition, Error, Key, Object, Revision, Store, Traffic};

/// The longest answer that is read, in bytes; objects have at most a megabyte.
const ANSWER_MAX: usize = 4 << 20;

/// A client of the object API, for one thread.
pub struct Client {
    addresses: SmallVec<[SocketAddr; 2]>,
    answer: Span,
    http: awc::Client,
    /// The index of the address that took the last connection.
    preferred: Cell<usize>,
    traffic: Traffic,
}

/// What is asked of the platform.
struct Request<'r> {
    method: Method,
    path: String,
    condition: Condition,
    body: Option<&'r Bytes>,
    /// How long the answer may take.
    wait: Span,
}

impl Request<'static> {
    /// Creates a request that only reads.
    const fn read(path: String, wait: Span) -> Self {
        Self {
            method: Method::GET,
            path,
            condition: Condition::Always,
            body: None,
            wait,
        }
    }
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
            http,
            preferred: Cell::new(0),
            traffic,
        }
    }

    /// Returns the counts of calls and bytes.
    pub const fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Makes a call, at the next address where no connection can be made.
    async fn call(&self, request: &Request<'_>) -> Result<Answer, Failure> {
        let first = self.preferred.get();
        let mut failure = Failure::Connect("there is no address".to_owned());
        for turn in 0..self.addresses.len() {
            let index = (first + turn) % self.addresses.len();
            match self.call_at(self.addresses[index], request).await {
                Err(Failure::Connect(reason)) => {
                    failure = Failure::Connect(format!("{}: {reason}", self.addresses[index]));
                }
                outcome => {
                    self.preferred.set(index);
                    return outcome;
                }
            }
        }
        Err(failure)
    }

    async fn call_at(&self, address: SocketAddr, request: &Request<'_>) -> Result<Answer, Failure> {
        let url = format!("http://{address}{}", request.path);
        let call = self
            .http
            .request(request.method.clone(), url)
            .timeout(request.wait.into());
        let call = conditional(call, request.condition);
        let length = request.body.map_or(0, Bytes::len);
        let head = request.path.len() + request.method.as_str().len() + head_length(call.headers());
        let sending = match request.body {
            Some(body) => call.send_body(body.clone()),
            None => call.send(),
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
        Ok(Answer {
            status: response.status(),
            tag: revision_of(response.headers()),
            body,
        })
    }
}

/// Adds the headers for `condition`.
fn conditional(call: ClientRequest, condition: Condition) -> ClientRequest {
    match condition {
        Condition::Always => call,
        Condition::Absent => call.insert_header((IF_NONE_MATCH, "*")),
        Condition::Revision(revision) => call.insert_header((IF_MATCH, tag::format(revision))),
    }
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
        let request = Request::read(path::object(key), self.answer);
        let answer = self.call(&request).await;
        let answer = answer.map_err(|failure| failure.into_error(Effect::Read))?;
        match answer.status {
            StatusCode::OK => object(key, &answer).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(answer.error(Effect::Read)),
        }
    }

    async fn put(&self, key: &Key, value: Bytes, condition: Condition) -> Result<Revision, Error> {
        let request = Request {
            method: Method::PUT,
            path: path::object(key),
            condition,
            body: Some(&value),
            wait: self.answer,
        };
        let answer = self.call(&request).await;
        let answer = answer.map_err(|failure| failure.into_error(Effect::Write))?;
        match answer.status {
            StatusCode::OK => answer.revision(Effect::Write),
            _ => Err(answer.error(Effect::Write)),
        }
    }

    async fn watch(&self, key: &Key, after: Revision, wait: Span) -> Result<Option<Object>, Error> {
        let whole = Span::new(wait.get().saturating_add(self.answer.get()));
        let request = Request::read(path::watch(key, after, wait), whole);
        let answer = self.call(&request).await;
        let answer = answer.map_err(|failure| failure.into_error(Effect::Read))?;
        match answer.status {
            StatusCode::OK => object(key, &answer).map(Some),
            StatusCode::NOT_MODIFIED => Ok(None),
            _ => Err(answer.error(Effect::Read)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Key>, Error> {
        let request = Request::read(path::keys(prefix), self.answer);
        let answer = self.call(&request).await;
        let answer = answer.map_err(|failure| failure.into_error(Effect::Read))?;
        match answer.status {
            StatusCode::OK => serde_json::from_slice(&answer.body)
                .map_err(|error| Error::Unavailable(error.to_string())),
            _ => Err(answer.error(Effect::Read)),
        }
    }

    async fn delete(&self, key: &Key) -> Result<(), Error> {
        let request = Request {
            method: Method::DELETE,
            path: path::object(key),
            condition: Condition::Always,
            body: None,
            wait: self.answer,
        };
        let answer = self.call(&request).await;
        let answer = answer.map_err(|failure| failure.into_error(Effect::Write))?;
        match answer.status {
            StatusCode::OK | StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
            _ => Err(answer.error(Effect::Write)),
        }
    }
}

/// Returns the object that `answer` carries.
fn object(key: &Key, answer: &Answer) -> Result<Object, Error> {
    Ok(Object {
        key: key.clone(),
        revision: answer.revision(Effect::Read)?,
        value: answer.body.clone(),
    })
}
