//! What happens to the decisions, and what they lead to.

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

/// What happens.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A backend server of this host changed.
    Local(LocalUpdate),
    /// A message of another node came.
    Message(Message),
    /// A call was answered.
    Reply(Reply),
    /// The node begins to stop.
    Leave,
}

/// A call to the platform or to another node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Write what this node says of itself, creating the object if it is not there yet.
    Register {
        /// What it says.
        member: Box<Member>,
        /// Whether the object is to be created.
        create: bool,
    },
    /// List the nodes; the list may be seconds old.
    Members,
    /// Read the configuration.
    Read,
    /// Wait for a configuration after `after`.
    Watch {
        /// The revision up to which all is known.
        after: Revision,
        /// How long to wait.
        wait: Span,
    },
    /// Get the configuration from another node.
    Fetch(SocketAddr),
}

/// The answer to a call.
#[derive(Debug)]
pub enum Reply {
    /// To [`Call::Register`].
    Registered(Result<(), Error>),
    /// To [`Call::Members`].
    Members(Result<Vec<Member>, Error>),
    /// To [`Call::Read`] and [`Call::Watch`]: from where to go on, and the configuration if it has
    /// changed.
    Configuration(Result<(Revision, Option<Arc<Snapshot>>), Error>),
    /// To [`Call::Fetch`].
    Fetched(Result<Arc<Snapshot>, Error>),
}

/// What is to be done.
#[derive(Debug)]
pub enum Effect {
    /// Make a call.
    Call(Call),
    /// Write a line to the log.
    Log(Notice),
    /// Publish what calls are decided by.
    Publish(View),
    /// Send a message.
    Send(SocketAddr, Message),
}

/// What the node now believes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// A configuration is in force here.
    Adopted {
        /// Its version.
        version: Version,
        /// Whether it came from another node.
        from_node: bool,
    },
    /// What was offered as a configuration is not used.
    Refused(String),
    /// A member is new, or has changed.
    MemberChanged(Box<Member>),
    /// The platform answers again.
    PlatformAvailable,
    /// The platform does not answer.
    PlatformUnavailable(String),
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Adopted { .. } => "a configuration is in force",
            Self::Refused(_) => "a configuration was refused",
            Self::MemberChanged(_) => "a member changed",
            Self::PlatformAvailable => "the platform answers again",
            Self::PlatformUnavailable(_) => "the platform does not answer",
        })
    }
}
