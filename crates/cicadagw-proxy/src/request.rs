//! A call as it arrived.

use std::cell::Cell;
use std::str::FromStr;
use std::time::{Duration, Instant};

use actix_web::HttpRequest;
use actix_web::http::header::{HeaderMap, HeaderName};
use actix_web::http::uri::PathAndQuery;
use actix_web::http::{Method, Version, header as http};
use cicadagw_call::Reason;
use cicadagw_call::route::Line;
use cicadagw_unit::id;
use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::{Moment, Span};

use crate::header;

/// A call as it arrived.
#[derive(Debug)]
pub(crate) struct Request {
    /// The headers that go on.
    pub(crate) headers: HeaderMap,
    /// The host, in lower case and without port.
    pub(crate) host: String,
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    /// How many hops were made before this one.
    pub(crate) hops: u8,
    /// How long the caller waits, when it says so.
    pub(crate) left: Option<Span>,
    /// When it arrived.
    pub(crate) arrival: Moment,
    /// What the node before has decided.
    pub(crate) via: Option<Via>,
    /// The size of the body, when it is known; a call without body has none.
    pub(crate) size: Option<Bytes>,
    /// Whether the body's size is not known.
    pub(crate) is_chunked: bool,
    /// How long the caller, other nodes and the backend server were waited for.
    waited: Cell<Duration>,
}

/// What the node before has decided.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Via {
    pub(crate) endpoint: id::Endpoint,
    pub(crate) cluster: id::Cluster,
    pub(crate) policy: id::Policy,
}

impl Request {
    /// Reads the head of a request that arrived at `arrival`.
    ///
    /// # Errors
    ///
    /// [`Reason::BadRequest`] when a header of the protocol cannot be read or the end of the body is
    /// not clear, [`Reason::HttpVersion`] when the request is older than HTTP/1.1.
    pub(crate) fn read(request: &HttpRequest, arrival: Moment) -> Result<Self, Reason> {
        let headers = request.headers();
        let is_chunked = headers.contains_key(http::TRANSFER_ENCODING);
        let size = parsed(headers, &http::CONTENT_LENGTH)?.map(Bytes::new);
        if request.version() < Version::HTTP_11 {
            return Err(Reason::HttpVersion);
        }
        if request.method() == Method::CONNECT || (is_chunked && size.is_some()) {
            return Err(Reason::BadRequest);
        }
        let path = request.uri().path_and_query().cloned();
        Ok(Self {
            headers: header::end_to_end(headers),
            host: host(request),
            method: request.method().clone(),
            path: path.unwrap_or_else(|| PathAndQuery::from_static("/")),
            hops: parsed(headers, &header::HOPS)?.unwrap_or(0),
            left: parsed(headers, &header::DEADLINE)?.map(Span::new),
            arrival,
            via: via(headers)?,
            size,
            is_chunked,
            waited: Cell::default(),
        })
    }

    /// Awaits what others do for this call.
    pub(crate) async fn wait<T>(&self, others: impl Future<Output = T>) -> T {
        let begin = Instant::now();
        let output = others.await;
        self.waited.set(self.waited.get() + begin.elapsed());
        output
    }

    /// Returns how long others were waited for.
    pub(crate) fn waited(&self) -> Duration {
        self.waited.get()
    }

    /// Returns what a route is chosen by.
    pub(crate) fn line(&self) -> Line<'_> {
        Line {
            host: &self.host,
            method: self.method.as_str(),
            path: self.path.path(),
        }
    }

    /// Tells whether there is a header `name` with `value`.
    pub(crate) fn has_header(&self, name: &str, value: &str) -> bool {
        self.headers
            .get_all(name)
            .any(|held| held.as_bytes() == value.as_bytes())
    }

    /// Returns when the call must be answered, for a policy that gives it `timeout`.
    pub(crate) fn deadline(&self, timeout: Span) -> Moment {
        self.arrival
            .after(self.left.map_or(timeout, |left| left.min(timeout)))
    }

    /// Returns the sum of the headers that go on.
    pub(crate) fn header_size(&self) -> Bytes {
        let sum: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        Bytes::new(sum as u64)
    }
}

fn host(request: &HttpRequest) -> String {
    let named = request
        .headers()
        .get(http::HOST)
        .and_then(|value| value.to_str().ok())
        .or_else(|| request.uri().host())
        .unwrap_or_default();
    let bare = match named.rfind(':') {
        Some(colon) if !named.ends_with(']') => &named[..colon],
        _ => named,
    };
    bare.to_ascii_lowercase()
}

fn via(headers: &HeaderMap) -> Result<Option<Via>, Reason> {
    let Some(endpoint) = parsed(headers, &header::ENDPOINT)? else {
        return Ok(None);
    };
    let cluster = parsed(headers, &header::CLUSTER)?;
    let policy = parsed(headers, &header::POLICY)?;
    Ok(Some(Via {
        endpoint,
        cluster: cluster.ok_or(Reason::BadRequest)?,
        policy: policy.ok_or(Reason::BadRequest)?,
    }))
}

fn parsed<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Result<Option<T>, Reason> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Reason::BadRequest)?;
    text.parse().map(Some).map_err(|_| Reason::BadRequest)
}
