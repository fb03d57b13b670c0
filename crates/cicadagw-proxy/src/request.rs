//! A parsed incoming call.

use std::cell::Cell;
use std::str::FromStr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cicadagw_call::Reason;
use cicadagw_call::refusal::Identity;
use cicadagw_call::route::RequestLine;
use cicadagw_config::account::KeyDigest;
use cicadagw_dialect::HeaderNames;
use cicadagw_http::Fields;
use cicadagw_unit::id;
use cicadagw_unit::time::{Span, Timestamp};

use crate::header;
use crate::listener_kind::ListenerKind;

/// A parsed incoming call.
#[derive(Debug)]
pub(crate) struct Request {
    /// The fields to forward.
    pub(crate) fields: Fields,
    /// The request id set by the caller.
    pub(crate) attempt: Option<Bytes>,
    /// The service of the host on which the call originated, as stated by the node there.
    pub(crate) caller: Option<id::Service>,
    /// The client account that makes the call, as stated by the node that routed it.
    pub(crate) account: Option<id::Account>,
    /// The digest of the key that the caller presents; the key itself is not kept.
    pub(crate) key: Option<KeyDigest>,
    /// The requested host, in lower case and without port.
    pub(crate) host: String,
    pub(crate) method: Bytes,
    /// The path and query, as received.
    pub(crate) target: Bytes,
    /// The number of node-to-node hops before this node.
    pub(crate) hops: u8,
    /// The time until the caller's deadline, if the caller states it.
    pub(crate) remaining: Option<Span>,
    /// The time until the latency target, as stated by the node that routed the call.
    pub(crate) target_remaining: Option<Span>,
    /// When the call arrived.
    pub(crate) arrival: Timestamp,
    /// When the call arrived first, if it was refused before and retried by its caller; otherwise
    /// `arrival`.
    pub(crate) first_arrival: Timestamp,
    /// The choices of the node that routed the call.
    pub(crate) selection: Option<Selection>,
    /// The total size of all received fields, in bytes.
    pub(crate) size: usize,
    /// The time spent waiting for the caller, other nodes and the backend server.
    wait_time: Cell<Duration>,
}

/// The choices of the node that routed the call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Selection {
    pub(crate) endpoint: id::Endpoint,
    pub(crate) cluster: id::Cluster,
    pub(crate) policy: id::Policy,
}

impl Request {
    /// Parses the head of a request received on a listener of `kind` at `arrival`.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::BadRequest`] when the target or a protocol field is invalid, and
    /// [`Reason::HttpVersion`] when the request is older than HTTP/1.1.
    pub(crate) fn read(
        head: cicadagw_http::Request,
        names: &HeaderNames,
        kind: ListenerKind,
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
            Some(name) => parse_field(fields, name)?,
            None => None,
        };
        Ok(Self {
            account: if is_from_node {
                parse_field(fields, header::ACCOUNT)?
            } else {
                None
            },
            key: if is_from_node {
                None
            } else {
                key(fields, names)
            },
            attempt: names.attempt.and_then(|name| fields.get(name).cloned()),
            caller: if is_from_node {
                parse_field(fields, header::CALLER)?
            } else {
                None
            },
            host: host(fields),
            hops: hops.unwrap_or(0),
            remaining: parse_field(fields, deadline)?.map(Span::new),
            target_remaining: parse_field(fields, header::LATENCY_TARGET)?.map(Span::new),
            arrival,
            first_arrival: arrival,
            selection: if is_from_node {
                Some(selection(fields)?)
            } else {
                None
            },
            size: fields.size(),
            fields: header::request(fields, names),
            method: head.method,
            target: head.target,
            wait_time: Cell::default(),
        })
    }

    /// Awaits `others` and adds the time to the call's waiting time.
    pub(crate) async fn track_wait<T>(&self, others: impl Future<Output = T>) -> T {
        let begin = Instant::now();
        let output = others.await;
        self.wait_time.set(self.wait_time.get() + begin.elapsed());
        output
    }

    /// Returns the time spent waiting for others, which does not count as latency added by this
    /// node.
    pub(crate) fn wait_time(&self) -> Duration {
        self.wait_time.get()
    }

    /// Returns the parts of the request by which a route is matched.
    pub(crate) fn request_line(&self) -> RequestLine<'_> {
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

    /// Returns the caller's request id, for logs.
    pub(crate) fn id(&self) -> &str {
        self.attempt.as_deref().map_or("-", text)
    }

    /// Returns a hash by which a retry of the request is recognized.
    pub(crate) fn digest(&self) -> u64 {
        let identity = Identity {
            host: &self.host,
            key: self.key.as_ref(),
            method: &self.method,
            target: &self.target,
        };
        identity.digest()
    }

    /// Returns the caller's deadline, if the caller states it.
    pub(crate) fn caller_deadline(&self) -> Option<Timestamp> {
        self.remaining
            .map(|remaining| self.arrival.after(remaining))
    }

    /// Returns whether there is a field `name` with `value`.
    pub(crate) fn has_header(&self, name: &str, value: &str) -> bool {
        self.fields.all(name).any(|found| found == value.as_bytes())
    }

    /// Returns the deadline of the call under a policy with `timeout`. The node that routed the
    /// call has already applied the timeout.
    pub(crate) fn deadline(&self, timeout: Span) -> Timestamp {
        let time = match (&self.selection, self.remaining) {
            (Some(_), Some(remaining)) => remaining,
            (None, Some(remaining)) => remaining.min(timeout),
            (_, None) => timeout,
        };
        self.arrival.after(time)
    }
}

fn host(fields: &Fields) -> String {
    let authority = fields.text("host").unwrap_or_default();
    let host = match authority.rfind(':') {
        Some(colon) if !authority.ends_with(']') => &authority[..colon],
        _ => authority,
    };
    host.to_ascii_lowercase()
}

/// Returns the digest of the key that a caller presents; `None` without a key or with several.
fn key(fields: &Fields, names: &HeaderNames) -> Option<KeyDigest> {
    let mut keys = fields.all(names.key?);
    let key = keys.next()?;
    keys.next().is_none().then(|| KeyDigest::of(key))
}

fn selection(fields: &Fields) -> Result<Selection, Reason> {
    Ok(Selection {
        endpoint: parse_field(fields, header::ENDPOINT)?.ok_or(Reason::BadRequest)?,
        cluster: parse_field(fields, header::CLUSTER)?.ok_or(Reason::BadRequest)?,
        policy: parse_field(fields, header::POLICY)?.ok_or(Reason::BadRequest)?,
    })
}

fn parse_field<T: FromStr>(fields: &Fields, name: &str) -> Result<Option<T>, Reason> {
    let Some(value) = fields.get(name) else {
        return Ok(None);
    };
    let text = std::str::from_utf8(value).map_err(|_| Reason::BadRequest)?;
    text.parse().map(Some).map_err(|_| Reason::BadRequest)
}

/// Returns `bytes` as a string; invalid UTF-8 becomes the empty string, which matches nothing.
fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap_or_default()
}
