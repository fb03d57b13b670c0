//! Commands and events between the control duty and the links duty.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::{Down, Hello, Refusal, Up};

/// Identifies one link of this process, to a parent or from a child; never reused.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
#[serde(transparent)]
pub struct LinkId(pub u64);

impl fmt::Display for LinkId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A command from the control duty to the links duty.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Opens a link to a parent.
    Dial {
        /// The id of the link, chosen by the control duty.
        session: LinkId,
        /// The address at which the parent accepts links.
        address: SocketAddr,
        /// The first message on the link.
        hello: Box<Hello>,
    },
    /// Sends a message to a parent.
    Up {
        /// The link to the parent.
        session: LinkId,
        /// The message.
        message: Box<Up>,
    },
    /// Accepts a child that asked to join.
    Accept {
        /// The link from the child.
        session: LinkId,
    },
    /// Refuses a child that asked to join.
    Refuse {
        /// The link from the child.
        session: LinkId,
        /// The reason, which the child receives.
        refusal: Refusal,
    },
    /// Sends a message to children; it is encoded once for all of them.
    Down {
        /// The links from the children.
        sessions: Vec<LinkId>,
        /// The message.
        message: Arc<Down>,
    },
    /// Closes a link to a parent or from a child; no event follows.
    Close {
        /// The link to close.
        session: LinkId,
    },
}

/// An event that the links duty reports to the control duty.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A parent accepted this node as its child.
    Opened {
        /// The link to the parent.
        session: LinkId,
    },
    /// A parent refused this node as its child.
    Refused {
        /// The link to the parent.
        session: LinkId,
        /// The reason that the parent gave.
        refusal: Refusal,
    },
    /// A parent sent a message.
    Down {
        /// The link to the parent.
        session: LinkId,
        /// The message.
        message: Box<Down>,
    },
    /// A node asks to join as a child; the control duty responds with
    /// [`Command::Accept`] or [`Command::Refuse`].
    #[serde(rename = "joining")]
    JoinRequested {
        /// The id of the link, chosen by the links duty.
        session: LinkId,
        /// The first message on the link.
        hello: Box<Hello>,
    },
    /// A child sent a message.
    Up {
        /// The link from the child.
        session: LinkId,
        /// The message.
        message: Box<Up>,
    },
    /// A link to a parent or from a child ended, or could not be opened.
    Closed {
        /// The link that ended.
        session: LinkId,
        /// The reason, for logs.
        reason: String,
    },
}
