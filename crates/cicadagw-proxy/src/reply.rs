//! The responses to callers and other nodes.

use bytes::Bytes;
use cicadagw_call::{Load, Outcome, Reason};
use cicadagw_http::server::Reply;
use cicadagw_unit::time::Span;

use crate::header;
use crate::response::Response;

/// The result of an attempt, or of a whole call.
#[derive(Debug)]
pub(crate) enum End {
    /// The backend server responded.
    Answered(Box<Response>),
    /// The request was not executed by a backend server.
    NotRun(Reason),
    /// The request may have been executed.
    Unknown(Reason),
}

impl End {
    pub(crate) const fn outcome(&self) -> Outcome {
        match self {
            Self::Answered(_) => Outcome::Answered,
            Self::NotRun(_) => Outcome::NotRun,
            Self::Unknown(_) => Outcome::Unknown,
        }
    }

    const fn reason(&self) -> Option<Reason> {
        match self {
            Self::Answered(_) => None,
            Self::NotRun(reason) | Self::Unknown(reason) => Some(*reason),
        }
    }

    /// Builds the reply; `retry_after` is the value of its `retry-after` field, if it needs one.
    pub(crate) fn into_reply(self, retry_after: &str) -> Reply {
        let outcome = self.outcome();
        let reason = self.reason();
        let mut reply = match self {
            Self::Answered(response) => response.into_reply(),
            Self::NotRun(reason) => Reply::new(not_run_status(reason)),
            Self::Unknown(reason) => Reply::new(unknown_status(reason)),
        };
        set(&mut reply, header::OUTCOME, &outcome);
        if let Some(reason) = reason {
            set(&mut reply, header::REASON, &reason);
        }
        if matches!(reply.status, 429 | 503) && outcome == Outcome::NotRun {
            set(&mut reply, "retry-after", &retry_after);
        }
        reply
    }
}

/// Adds the fields for other nodes.
pub(crate) fn add_node_fields(
    reply: &mut Reply,
    load: Option<Load>,
    work: Option<Span>,
    retry_in: Option<Span>,
) {
    if let Some(wait) = retry_in {
        set(reply, header::LIMITED, &wait.get());
    }
    if let Some(load) = load {
        set(reply, header::LOAD, &load);
    }
    if let Some(work) = work {
        set(reply, header::WORK, &work.get());
    }
}

const fn not_run_status(reason: Reason) -> u16 {
    match reason {
        Reason::BadRequest => 400,
        Reason::Unauthorized => 401,
        Reason::NoRoute => 404,
        Reason::TooSlow => 408,
        Reason::BodyLimit => 413,
        Reason::OverQuota => 429,
        Reason::HeaderLimit => 431,
        Reason::Deadline => 504,
        Reason::HttpVersion => 505,
        Reason::HopLimit => 508,
        Reason::Draining
        | Reason::Gone
        | Reason::Limited
        | Reason::Lost
        | Reason::NoConfiguration
        | Reason::NoEndpoint
        | Reason::QuotaUnknown
        | Reason::Rejected
        | Reason::Shed
        | Reason::Stale
        | Reason::Unreachable => 503,
    }
}

const fn unknown_status(reason: Reason) -> u16 {
    match reason {
        Reason::Deadline => 504,
        _ => 502,
    }
}

fn set(reply: &mut Reply, name: &'static str, value: &impl ToString) {
    reply.fields.set(name, Bytes::from(value.to_string()));
}
