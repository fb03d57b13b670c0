//! What a parent sends to its children.

use cicadagw_config::{Delta, Snapshot, Stamp};
use cicadagw_endpoint::Record;
use cicadagw_unit::id;
use smallvec::SmallVec;

use crate::Member;

/// A message from a parent to a child.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Down {
    /// The parent lives; the way from the root down to it, and what it holds.
    Beat(Beat),
    /// What leads from an earlier snapshot to the one that the parent holds.
    Delta(Box<Delta>),
    /// News of endpoints.
    Endpoints(Vec<Record>),
    /// The members of the failure domain.
    Members(Vec<Member>),
    /// The whole snapshot that the parent holds.
    Whole(Box<Snapshot>),
}

/// A sign of life of a parent.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Beat {
    /// The snapshot that the parent holds.
    pub held: Stamp,
    /// The nodes from the root down to the parent, both included.
    pub path: SmallVec<[id::Node; 4]>,
}
