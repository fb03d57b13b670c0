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
        /// No byte of the request was sent to a backend server.
        NotRun = "not-run",
        /// The request may or may not have been executed.
        Unknown = "unknown",
    }
}

names! {
    /// The reason why a call got no response from a backend server.
    pub enum Reason {
        /// The request is malformed.
        BadRequest = "bad-request",
        /// The body exceeds the size limit of the node.
        BodyLimit = "body-limit",
        /// The deadline of the call expired.
        Deadline = "deadline",
        /// The backend server or the node is draining.
        Draining = "draining",
        /// The endpoint is not, or no longer, at this node.
        Gone = "gone",
        /// The headers exceed the size limit of the node.
        HeaderLimit = "header-limit",
        /// The call exceeded the limit on hops between nodes.
        HopLimit = "hop-limit",
        /// The HTTP version of the request does not let the caller tell a truncated response from a
        /// complete one.
        HttpVersion = "http-version",
        /// The connection failed after part of the request was sent.
        Lost = "lost",
        /// The node has no configuration yet.
        NoConfiguration = "no-configuration",
        /// No endpoint of the service accepts calls.
        NoEndpoint = "no-endpoint",
        /// No route matches the call.
        NoRoute = "no-route",
        /// The backend server itself refused the call.
        Rejected = "rejected",
        /// Admission shed the call: the node knows that the backend server has no room.
        Shed = "shed",
        /// The request took too long to arrive.
        TooSlow = "too-slow",
        /// No connection could be established.
        Unreachable = "unreachable",
    }
}

impl Reason {
    /// Returns the event that a refusal for this reason is in the chart of a call's attempts.
    pub const fn attempt_event(self) -> Event {
        match self {
            Self::Draining
            | Self::Gone
            | Self::Lost
            | Self::NoConfiguration
            | Self::NoEndpoint
            | Self::NoRoute
            | Self::Unreachable => Event::Leaving,
            Self::Rejected => Event::Shed,
            Self::Shed => Event::Full,
            Self::BadRequest
            | Self::BodyLimit
            | Self::Deadline
            | Self::HeaderLimit
            | Self::HopLimit
            | Self::HttpVersion
            | Self::TooSlow => Event::Refused,
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
        Self::from_name(text).ok_or_else(|| Error::new("reason", text, "a reason such as `shed`"))
    }
}
