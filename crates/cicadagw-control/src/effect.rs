//! Outputs of the control state machine.

use std::fmt;

use cicadagw_unit::Version;
use cicadagw_view::View;
use cicadagw_wire::link;

use crate::{Scope, platform};

/// An output of the state machine, for the duties of the node to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// A command for the links duty.
    Link(link::Command),
    /// A line for the log.
    Log(Notice),
    /// A platform request for the platform duty.
    Platform(platform::Call),
    /// The snapshot and endpoints by which the calls duty routes proxied calls.
    Publish(View),
}

/// A change to be logged; `Display` gives the message text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// A snapshot of this version was adopted.
    Adopted(Version),
    /// This node became a root: it acquired the lease of this scope.
    LeaseAcquired(Scope),
    /// This node became a child of the node with this id.
    JoinedParent(String),
    /// This node is no longer a root: it lost the lease of this scope.
    LeaseLost(Scope),
    /// The link to the parent was lost, for this reason.
    ParentLost(String),
    /// A snapshot of this version was refused, for this reason.
    Refused(Version, String),
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Adopted(version) => write!(f, "adopted version {version}"),
            Self::LeaseAcquired(scope) => write!(f, "acquired the {scope} root lease"),
            Self::JoinedParent(parent) => write!(f, "joined parent {parent}"),
            Self::LeaseLost(scope) => write!(f, "lost the {scope} root lease"),
            Self::ParentLost(reason) => write!(f, "lost the parent: {reason}"),
            Self::Refused(version, reason) => write!(f, "refused version {version}: {reason}"),
        }
    }
}
