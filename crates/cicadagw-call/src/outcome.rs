//! Outcomes of calls and the reasons for failed ones.

use std::str::FromStr;

use cicadagw_chart::{Name, names};
use cicadagw_unit::Error;

use crate::attempt::Event;

names! {
    /// The outcome of a call.
    pub enum Outcome {
        /// The backend server's response reached the caller.
        Answered = "answered",
        /// The request was not executed: it was not sent, or the backend server refused it.
        NotRun = "not-run",
        /// The request may or may not have been executed.
        Unknown = "unknown",
    }
}

names! {
    /// The reason why a call was not answered.
    pub enum Reason {
        /// The request is malformed.
        BadRequest = "bad-request",
        /// The body exceeds the size limit of the node.
        BodyLimit = "body-limit",
        /// The deadline of the call expired.
        Deadline = "deadline",
        /// The backend server or the node is draining.
        Draining = "draining",
        /// The target endpoint is not, or no longer, registered at this node.
        Gone = "gone",
        /// The headers exceed the size limit of the node.
        HeaderLimit = "header-limit",
        /// The call exceeded the limit on hops between nodes.
        HopLimit = "hop-limit",
        /// The HTTP version of the request does not let the caller tell a truncated response from a
        /// complete one.
        HttpVersion = "http-version",
        /// The call exceeds the quota of its client account.
        OverQuota = "over-quota",
        /// The call exceeds the rate limit that the backend server names, or those of all endpoints.
        Limited = "limited",
        /// The connection failed after part of the request was sent, or the attempt could not be
        /// made because the streamed body was consumed before.
        Lost = "lost",
        /// The node has no configuration yet.
        NoConfiguration = "no-configuration",
        /// No endpoint of the service accepts calls.
        NoEndpoint = "no-endpoint",
        /// No route matches the call.
        NoRoute = "no-route",
        /// No node that owns a part of the account's quota answers, so it is not known whether the
        /// quota allows the call.
        QuotaUnknown = "quota-unknown",
        /// The backend server itself refused the call.
        Rejected = "rejected",
        /// Admission control at the endpoint's node shed the call: the queue is full, or the call
        /// would not be answered in time.
        Shed = "shed",
        /// The node has not confirmed its configuration for too long to tell whether the key of the
        /// call has been revoked.
        Stale = "stale",
        /// The request took too long to arrive.
        TooSlow = "too-slow",
        /// The call has no key, or one that no client account has.
        Unauthorized = "unauthorized",
        /// No connection could be established.
        Unreachable = "unreachable",
    }
}

impl Reason {
    /// Returns the event of the attempt chart for an attempt that was refused for this reason, and
    /// so not executed.
    pub const fn attempt_event(self) -> Event {
        match self {
            // `Lost` on an attempt that was not executed means that the body was consumed before,
            // so nothing was sent.
            Self::Draining
            | Self::Gone
            | Self::Lost
            | Self::NoConfiguration
            | Self::NoEndpoint
            | Self::NoRoute
            | Self::Stale
            | Self::Unreachable => Event::Leaving,
            // The event `shed` is a refusal by the backend server itself; admission control at its
            // node sheds a call with the event `full`.
            Self::Rejected => Event::Shed,
            Self::Limited | Self::Shed => Event::Full,
            Self::BadRequest
            | Self::BodyLimit
            | Self::Deadline
            | Self::HeaderLimit
            | Self::HopLimit
            | Self::HttpVersion
            | Self::OverQuota
            | Self::QuotaUnknown
            | Self::TooSlow
            | Self::Unauthorized => Event::Refused,
        }
    }
}

impl FromStr for Outcome {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::from_name(text)
            .ok_or_else(|| Error::new("outcome", text, "`answered`, `not-run` or `unknown`"))
    }
}

impl FromStr for Reason {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::from_name(text).ok_or_else(|| {
            Error::new(
                "reason",
                text,
                "a reason of an unanswered call, such as `deadline`, `no-endpoint` or `shed`",
            )
        })
    }
}
