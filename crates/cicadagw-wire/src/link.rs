//! What passes between the control duty and the links duty.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::{Down, Hello, Refusal, Up};

/// Names one link of this process, to a parent or from a child; never used twice.
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
pub struct Session(pub u64);

impl fmt::Display for Session {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What the links duty is to do.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Open a link to a parent; the session is chosen by the control duty.
    Dial {
        /// The link.
        session: Session,
        /// Where the parent takes links.
        address: SocketAddr,
        /// What is said at first.
        hello: Box<Hello>,
    },
    /// Send to a parent.
    Up {
        /// The link.
        session: Session,
        /// The message.
        message: Box<Up>,
    },
    /// Take a child that asked to join.
    Accept {
        /// The link.
        session: Session,
    },
    /// Refuse a child that asked to join.
    Refuse {
        /// The link.
        session: Session,
        /// Why.
        refusal: Refusal,
    },
    /// Send to children; encoded once for all of them.
    Down {
        /// The links.
        sessions: Vec<Session>,
        /// The message.
        message: Arc<Down>,
    },
    /// Close a link to a parent or from a child; no event follows.
    Close {
        /// The link.
        session: Session,
    },
}

/// What the links duty tells.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A parent took this node as its child.
    Opened {
        /// The link.
        session: Session,
    },
    /// A parent refused this node.
    Refused {
        /// The link.
        session: Session,
        /// Why.
        refusal: Refusal,
    },
    /// A parent sent something.
    Down {
        /// The link.
        session: Session,
        /// The message.
        message: Box<Down>,
    },
    /// A node asks to join as a child; [`Command::Accept`] or [`Command::Refuse`] answers.
    Joining {
        /// The link, its session chosen by the links duty.
        session: Session,
        /// What the node says of itself.
        hello: Box<Hello>,
    },
    /// A child sent something.
    Up {
        /// The link.
        session: Session,
        /// The message.
        message: Box<Up>,
    },
    /// A link to a parent or from a child is gone, or a dial failed.
    Closed {
        /// The link.
        session: Session,
        /// Why, for logs.
        reason: String,
    },
}
