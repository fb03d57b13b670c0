//! How a call ended, and why.

use std::str::FromStr;

use cicadagw_chart::{Name, names};
use cicadagw_unit::Error;

use crate::attempt::Event;

names! {
    /// How a call ended.
    pub enum Outcome {
        /// The answer is the backend server's.
        Answered = "answered",
        /// No byte of the request went to a backend server.
        NotRun = "not-run",
        /// The request may or may not have run.
        Unknown = "unknown",
    }
}

names! {
    /// Why a call was not answered.
    pub enum Reason {
        /// The request cannot be read.
        BadRequest = "bad-request",
        /// The body is larger than a node carries.
        BodyLimit = "body-limit",
        /// The time for the call is over.
        Deadline = "deadline",
        /// The backend server or the node is leaving.
        Draining = "draining",
        /// The endpoint is not, or no longer, at this node.
        Gone = "gone",
        /// The headers are larger than a node carries.
        HeaderLimit = "header-limit",
        /// The call made more hops than it may.
        HopLimit = "hop-limit",
        /// The request is of a version of HTTP in which a cut answer cannot be told from a whole one.
        HttpVersion = "http-version",
        /// The connection failed after the request had begun to go out.
        Lost = "lost",
        /// The node holds no configuration yet.
        NoConfiguration = "no-configuration",
        /// No endpoint of the service takes work.
        NoEndpoint = "no-endpoint",
        /// No route is for the call.
        NoRoute = "no-route",
        /// The backend server itself refused the call.
        Rejected = "rejected",
        /// The backend server is full, as its node knows.
        Shed = "shed",
        /// The request took too long to arrive.
        TooSlow = "too-slow",
        /// No connection could be made.
        Unreachable = "unreachable",
    }
}

impl Reason {
    /// Returns what a refusal for this reason means for the call's attempts.
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
