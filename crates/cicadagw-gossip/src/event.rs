//! Inputs and outputs of the gossip state machine.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use cicadagw_config::Snapshot;
use cicadagw_endpoint::LocalUpdate;
use cicadagw_platform::{Error, Revision};
use cicadagw_unit::Version;
use cicadagw_unit::time::Span;
use cicadagw_view::View;

use crate::{Member, Message};

/// An input of the state machine.
#[derive(Debug)]
pub enum Event {
    /// Time has passed; the caller sends this at a fixed interval.
    Tick,
    /// The state of the backend server on this host changed.
    Local(LocalUpdate),
    /// A gossip message arrived from another node.
    Message(Message),
    /// A call was answered.
    Reply(Reply),
    /// The node begins to shut down.
    Leave,
}

/// A call to the platform or to another node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Write the member record of this node to the platform, creating the object if it does not
    /// exist yet.
    Register {
        /// The record to write.
        member: Box<Member>,
        /// Whether the object must be created; otherwise it must exist.
        create: bool,
    },
    /// List the nodes registered at the platform; the list may be seconds old.
    Members,
    /// Read the current configuration from the platform.
    Read,
    /// Wait until the platform has a configuration newer than the revision `after`.
    Watch {
        /// Revision up to which all changes are known.
        after: Revision,
        /// How long the platform may hold the call open.
        wait: Span,
    },
    /// Fetch the configuration from the node at this address.
    Fetch(SocketAddr),
}

/// The answer to a [`Call`].
#[derive(Debug)]
pub enum Reply {
    /// Answer to [`Call::Register`].
    Registered(Result<(), Error>),
    /// Answer to [`Call::Members`].
    Members(Result<Vec<Member>, Error>),
    /// Answer to [`Call::Read`] and [`Call::Watch`]: the revision to continue from, and the
    /// configuration if it has changed.
    Configuration(Result<(Revision, Option<Arc<Snapshot>>), Error>),
    /// Answer to [`Call::Fetch`].
    Fetched(Result<Arc<Snapshot>, Error>),
}

/// An output of the state machine, for the caller to carry out.
#[derive(Debug)]
pub enum Effect {
    /// Make a call; its answer comes back as [`Event::Reply`].
    Call(Call),
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
    /// A member was added to the table, or its record changed.
    MemberChanged(Box<Member>),
    /// The platform answers again after it was unavailable.
    PlatformAvailable,
    /// The platform became unavailable, for this reason.
    PlatformUnavailable(String),
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Adopted { .. } => "configuration applied",
            Self::Refused(_) => "configuration refused",
            Self::MemberChanged(_) => "member record changed",
            Self::PlatformAvailable => "platform available again",
            Self::PlatformUnavailable(_) => "platform unavailable",
        })
    }
}
