//! A call as it arrived.

use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::str::FromStr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cicadagw_call::Reason;
use cicadagw_call::route::RequestLine;
use cicadagw_dialect::HeaderNames;
use cicadagw_http::Fields;
use cicadagw_unit::id;
use cicadagw_unit::time::{Span, Timestamp};

use crate::header;
use crate::listen::Kind;

/// A call as it arrived.
#[derive(Debug)]
pub(crate) struct Request {
    /// The fields that go on.
    pub(crate) fields: Fields,
    /// The id that the caller gave it.
    pub(crate) attempt: Option<Bytes>,
    /// The service of the host that it comes from, as its first node says.
    pub(crate) caller: Option<id::Service>,
    /// The host, in lower case and without port.
    pub(crate) host: String,
    pub(crate) method: Bytes,
    /// The path and the query, as they came.
    pub(crate) target: Bytes,
    /// How many hops were made before this one.
    pub(crate) hops: u8,
    /// How long the caller waits, when it says so.
    pub(crate) left: Option<Span>,
    /// How long its answer is worth most, as its first node says.
    pub(crate) target_left: Option<Span>,
    /// When it arrived.
    pub(crate) arrival: Timestamp,
    /// When its caller made it first, where it was refused before.
    pub(crate) first: Timestamp,
    /// What the node before has decided.
    pub(crate) via: Option<Via>,
    /// The size of all fields that came, in bytes.
    pub(crate) size: usize,
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
    /// Reads the head of a request that came through `kind` at `arrival`.
    ///
    /// # Errors
    ///
    /// [`Reason::BadRequest`] when a field of the protocol cannot be read, [`Reason::HttpVersion`]
    /// when the request is older than HTTP/1.1.
    pub(crate) fn read(
        head: cicadagw_http::Request,
        names: &HeaderNames,
        kind: Kind,
        arrival: Timestamp,
    ) -> Result<Self, Reason> {
        if head.is_http_1_0 {
            return Err(Reason::HttpVersion);
        }
        if &head.method[..] == b"CONNECT" || !head.target.starts_with(b"/") {
            return Err(Reason::BadRequest);
        }
        let fields = &head.fields;
        let is_from_node = kind.is_from_node(fields);
        let (deadline, hops) = if is_from_node {
            (header::DEADLINE, Some(header::HOPS))
        } else {
            (names.deadline, names.hops)
        };
        let hops = match hops {
            Some(name) => parsed(fields, name)?,
            None => None,
        };
        Ok(Self {
            attempt: names.attempt.and_then(|name| fields.get(name).cloned()),
            caller: if is_from_node {
                parsed(fields, header::CALLER)?
            } else {
                None
            },
            host: host(fields),
            hops: hops.unwrap_or(0),
            left: parsed(fields, deadline)?.map(Span::new),
            target_left: parsed(fields, header::TARGET)?.map(Span::new),
            arrival,
            first: arrival,
            via: if is_from_node {
                Some(via(fields)?)
            } else {
                None
            },
            size: fields.size(),
            fields: header::request(fields, names),
            method: head.method,
            target: head.target,
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
    pub(crate) fn line(&self) -> RequestLine<'_> {
        RequestLine {
            host: &self.host,
            method: text(&self.method),
            path: self.path(),
        }
    }

    /// Returns the path without the query.
    pub(crate) fn path(&self) -> &str {
        text(&self.target).split('?').next().unwrap_or_default()
    }

    /// Returns the id that the caller gave the call, for logs.
    pub(crate) fn id(&self) -> &str {
        self.attempt.as_deref().map_or("-", text)
    }

    /// Returns a digest of what is asked for.
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.host, &self.method, &self.target).hash(&mut hasher);
        hasher.finish()
    }

    /// Returns until when the caller waits, when it says so.
    pub(crate) fn caller_deadline(&self) -> Option<Timestamp> {
        self.left.map(|left| self.arrival.after(left))
    }

    /// Tells whether there is a field `name` with `value`.
    pub(crate) fn has_header(&self, name: &str, value: &str) -> bool {
        self.fields.all(name).any(|held| held == value.as_bytes())
    }

    /// Returns when the call must be answered, for a policy that gives it `timeout`. The node that
    /// routed a call has looked at the timeout itself.
    pub(crate) fn deadline(&self, timeout: Span) -> Timestamp {
        let time = match (&self.via, self.left) {
            (Some(_), Some(left)) => left,
            (None, Some(left)) => left.min(timeout),
            (_, None) => timeout,
        };
        self.arrival.after(time)
    }
}

fn host(fields: &Fields) -> String {
    let named = fields.text("host").unwrap_or_default();
    let bare = match named.rfind(':') {
        Some(colon) if !named.ends_with(']') => &named[..colon],
        _ => named,
    };
    bare.to_ascii_lowercase()
}

fn via(fields: &Fields) -> Result<Via, Reason> {
    Ok(Via {
        endpoint: parsed(fields, header::ENDPOINT)?.ok_or(Reason::BadRequest)?,
        cluster: parsed(fields, header::CLUSTER)?.ok_or(Reason::BadRequest)?,
        policy: parsed(fields, header::POLICY)?.ok_or(Reason::BadRequest)?,
    })
}

fn parsed<T: FromStr>(fields: &Fields, name: &str) -> Result<Option<T>, Reason> {
    let Some(value) = fields.get(name) else {
        return Ok(None);
    };
    let text = std::str::from_utf8(value).map_err(|_| Reason::BadRequest)?;
    text.parse().map(Some).map_err(|_| Reason::BadRequest)
}

/// Returns `bytes` as text; what is no text matches nothing.
fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap_or_default()
}
