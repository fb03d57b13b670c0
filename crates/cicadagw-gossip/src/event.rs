//! Inputs and outputs of the gossip state machine.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use cicadagw_call::quota::{Grant, Request};
use cicadagw_config::Snapshot;
use cicadagw_endpoint::{Departures, LocalUpdate};
use cicadagw_platform::{Era, Error, Freshness, Revision};
use cicadagw_rollout::{Decision, Directive, Entry, Report, Status};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Term, Version, id};
use cicadagw_view::View;

use crate::{Member, Message};

/// An input of the state machine.
#[derive(Debug)]
pub enum Event {
    /// Time has passed; sent at a fixed interval.
    Tick,
    /// The state of a backend server on this host changed.
    Local(LocalUpdate),
    /// The calls duty reports on a backend server on this host whose service has a rollout.
    Report(Box<Report>),
    /// A gossip message arrived from another node, at this address.
    Message(SocketAddr, Message),
    /// Calls at this node need tokens of a quota.
    Quota(Request),
    /// A [`Call`] succeeded or failed.
    Reply(Reply),
    /// The node begins to shut down, so its endpoints must be removed everywhere.
    Shutdown,
}

/// A request to the platform or to another node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Write the member record of this node to the platform.
    Register {
        /// The record to write.
        member: Box<Member>,
        /// Whether the object is assumed not to exist yet: it is then created instead of updated.
        create: bool,
    },
    /// List the nodes registered at the platform; the argument tells whether the list may be stale.
    ListMembers(Freshness),
    /// Read the current configuration from the platform, without waiting for a change.
    ReadConfiguration {
        /// When the read was sent, on the clock of events.
        at: Timestamp,
    },
    /// Wait until the platform has a configuration newer than the revision `after`.
    WatchConfiguration {
        /// Revision up to which all changes are known.
        after: Revision,
        /// How long the platform may hold the request open.
        wait: Span,
    },
    /// Ask whether the platform has a configuration newer than the revision `after`, without waiting
    /// for one; the response may be seconds old.
    CheckConfiguration {
        /// Revision up to which all changes are known.
        after: Revision,
        /// Timeout of the request.
        timeout: Span,
    },
    /// Ask whether the configuration is current; the response must not be stale.
    ConfirmConfiguration(Inquiry),
    /// List the orders of rollouts at the platform.
    ListRollouts,
    /// Wait until an order of a rollout, or the status of one, has changed after the revision `after`.
    WatchRollouts {
        /// Revision up to which all changes are known.
        after: Revision,
        /// How long the platform may hold the request open.
        wait: Span,
    },
    /// Write the status of an order of a rollout, if nobody has changed the order since `term`.
    WriteRollout {
        /// The service.
        service: id::Service,
        /// The status to write.
        status: Box<Status>,
        /// The revision that the order must have.
        term: Term,
    },
    /// Fetch the configuration from the node at this address, instead of from the platform.
    FetchConfiguration(SocketAddr),
}

impl Call {
    /// Returns the response to this call if it failed with `error`.
    pub fn failure(&self, error: Error) -> Reply {
        match self {
            Self::Register { .. } => Reply::Registered(Err(error)),
            Self::ListMembers(_) => Reply::Members(Err(error)),
            Self::ReadConfiguration { at } => Reply::Read(*at, Err(error)),
            Self::WatchConfiguration { .. } => Reply::Watched(Err(error)),
            Self::CheckConfiguration { .. } => Reply::Checked(Err(error)),
            Self::ConfirmConfiguration(inquiry) => Reply::Confirmed(*inquiry, Err(error)),
            Self::ListRollouts | Self::WatchRollouts { .. } => Reply::Rollouts(Err(error)),
            Self::WriteRollout { service, .. } => {
                Reply::RolloutWritten(service.clone(), Err(error))
            }
            Self::FetchConfiguration(_) => Reply::Fetched(Err(error)),
        }
    }
}

/// A question to the platform whether the configuration is current.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Inquiry {
    /// Revision up to which all changes are known, or `None` to read the configuration as a whole.
    pub after: Option<Revision>,
    /// When the question was sent, on the clock of views.
    pub at: Timestamp,
    /// The version that is current if there is no change after `after`.
    pub version: Version,
}

/// The response to a [`Call`].
#[derive(Debug)]
pub enum Reply {
    /// Response to [`Call::Register`]: the revision of the object.
    Registered(Result<Revision, Error>),
    /// Response to [`Call::ListMembers`].
    Members(Result<Vec<Member>, Error>),
    /// Response to [`Call::ReadConfiguration`], with the time at which the read was sent: the revision
    /// to continue from, and the configuration.
    Read(Timestamp, Result<(Revision, Option<Arc<Snapshot>>), Error>),
    /// Response to [`Call::WatchConfiguration`]: the revision to continue from, and the configuration
    /// if it has changed.
    Watched(Result<(Revision, Option<Arc<Snapshot>>), Error>),
    /// Response to [`Call::CheckConfiguration`]: the revision of the last known configuration, and
    /// the configuration if it has changed.
    Checked(Result<(Revision, Option<Arc<Snapshot>>), Error>),
    /// Response to [`Call::ConfirmConfiguration`], with the inquiry: the revision up to which all
    /// changes are known, and the configuration if it has changed.
    Confirmed(Inquiry, Result<(Revision, Option<Arc<Snapshot>>), Error>),
    /// Response to [`Call::ListRollouts`] and [`Call::WatchRollouts`].
    Rollouts(Result<Orders, Error>),
    /// Response to [`Call::WriteRollout`]: the new revision of the order of this service.
    RolloutWritten(id::Service, Result<Term, Error>),
    /// Response to [`Call::FetchConfiguration`].
    Fetched(Result<Arc<Snapshot>, Error>),
    /// No response to a call: a response has named a later era than those before. It precedes the
    /// reply to its call.
    Restored(Era),
}

/// The orders of rollouts, or those that have changed.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    /// The revision from which to continue.
    pub at: Revision,
    /// The orders.
    pub entries: Vec<Entry>,
    /// Whether these are all orders.
    pub is_complete: bool,
    /// The services whose order cannot be read; the one before stays in force.
    pub unreadable: Vec<id::Service>,
}

/// An output of the state machine, for the gossip duty to carry out.
#[derive(Debug)]
pub enum Effect {
    /// Make a request; its response comes back as [`Event::Reply`].
    Call(Call),
    /// Give the calls duty an answer to its [`Event::Quota`].
    Grant(Grant),
    /// Tell the calls duty which departures from this host the platform has stored; they replace
    /// those told before.
    Stored(Departures),
    /// Write a line to the log.
    Log(Notice),
    /// Publish the configuration and endpoints that proxied calls are routed by.
    Publish(View),
    /// Send a gossip message to the node at this address.
    Send(SocketAddr, Message),
}

/// A change to be logged; `Display` gives the message text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// A configuration was applied.
    Adopted {
        /// Its version.
        version: Version,
        /// Whether it was fetched from another node, instead of read from the platform.
        from_node: bool,
    },
    /// A configuration fetched from another node was not applied, for this reason.
    Refused(String),
    /// The configuration, which has been too old for calls with keys, was confirmed again; its age.
    Fresh(Span),
    /// The configuration has not been confirmed for too long for calls with keys; its age.
    Stale(Span),
    /// Other nodes have told which backend servers had left this host before this process started.
    DeparturesRestored(Departures),
    /// A member was added to the table, or its record changed.
    MemberChanged(Box<Member>),
    /// The platform responds again after it was unavailable.
    PlatformAvailable,
    /// The platform became unavailable.
    PlatformUnavailable {
        /// Why the last request failed.
        reason: String,
        /// How long ago the platform last confirmed the configuration, to this node or to a watcher
        /// of its region.
        confirmed_age: Span,
    },
    /// The store of the platform has been restored from a copy; its new era.
    PlatformRestored(Era),
    /// An order of a rollout was noticed, or withdrawn.
    RolloutOrdered(Directive),
    /// This node begins or ceases to lead the rollout of a service.
    RolloutLed {
        /// The service.
        service: id::Service,
        /// Whether it begins.
        begins: bool,
    },
    /// This node decided about a rollout that it leads.
    RolloutDecided {
        /// The service.
        service: id::Service,
        /// The decision.
        decision: Box<Decision>,
        /// How many calls have reached the service, and how many of them the target release got.
        exposure: (u64, u64),
    },
    /// The order of a rollout names a service that the configuration does not have.
    RolloutServiceUnknown(id::Service),
    /// The status of a rollout could not be written, for this reason.
    RolloutNotWritten(id::Service, String),
    /// This node begins or ceases to watch the platform for configurations.
    Watching(bool),
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Adopted { .. } => "configuration applied",
            Self::Fresh(_) => "configuration confirmed again",
            Self::Stale(_) => "configuration not confirmed in time",
            Self::Refused(_) => "configuration refused",
            Self::DeparturesRestored(_) => "departures from this host restored",
            Self::MemberChanged(_) => "member record changed",
            Self::PlatformAvailable => "platform available again",
            Self::PlatformRestored(_) => "store of the platform restored from a copy",
            Self::PlatformUnavailable { .. } => "platform unavailable",
            Self::RolloutOrdered(directive) if directive.status.is_none() => "rollout withdrawn",
            Self::RolloutOrdered(_) => "rollout ordered",
            Self::RolloutLed { begins: true, .. } => "leading a rollout",
            Self::RolloutLed { begins: false, .. } => "no longer leading a rollout",
            Self::RolloutDecided { .. } => "rollout decided",
            Self::RolloutServiceUnknown(_) => "rollout of an unknown service ordered",
            Self::RolloutNotWritten(..) => "rollout status not written",
            Self::Watching(true) => "watching the platform",
            Self::Watching(false) => "no longer watching the platform",
        })
    }
}
