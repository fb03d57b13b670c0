//! What the control duty has the other duties do.

use std::fmt;

use cicadagw_unit::Version;
use cicadagw_view::View;
use cicadagw_wire::link;

use crate::{Rank, platform};

/// Something that is to be done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// For the links duty.
    Link(link::Command),
    /// For the logs.
    Log(Notice),
    /// For the platform duty.
    Platform(platform::Call),
    /// For the calls duty.
    Publish(View),
}

/// Something worth a line in the logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// A version was adopted.
    Adopted(Version),
    /// A lease was gained.
    LeaseAcquired(Rank),
    /// A parent took this node.
    ParentJoined(String),
    /// A lease was lost.
    LeaseLost(Rank),
    /// The link to the parent is gone.
    ParentLost(String),
    /// A version was refused.
    Refused(Version, String),
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Adopted(version) => write!(f, "adopted version {version}"),
            Self::LeaseAcquired(rank) => write!(f, "gained the lease of the {rank} root"),
            Self::ParentJoined(parent) => write!(f, "joined parent {parent}"),
            Self::LeaseLost(rank) => write!(f, "lost the lease of the {rank} root"),
            Self::ParentLost(reason) => write!(f, "lost the parent: {reason}"),
            Self::Refused(version, reason) => write!(f, "refused version {version}: {reason}"),
        }
    }
}
