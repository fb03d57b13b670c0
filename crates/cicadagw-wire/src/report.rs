//! Aggregate status reports of subtrees.

use cicadagw_unit::{Version, id};
use compact_str::CompactString;
use smallvec::SmallVec;

/// The maximum number of laggards in a report.
pub const LAGGARDS_MAX: usize = 4;

/// The aggregate status of a subtree: a node and its descendants.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The lowest version of the snapshots that the nodes of the subtree hold.
    pub lowest: Version,
    /// The number of nodes in the subtree.
    pub count: u32,
    /// The number of nodes in the subtree that have a registered backend server.
    pub serving: u32,
    /// The nodes of the subtree that hold an older version than the newest that the reporting node
    /// has seen, or rejected a version; those furthest behind come first, at most
    /// [`LAGGARDS_MAX`].
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub laggards: SmallVec<[Laggard; LAGGARDS_MAX]>,
}

/// A node that does not hold the newest version that is known, and the reason.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Laggard {
    /// The node.
    pub node: id::Node,
    /// The version of the snapshot that the node holds.
    pub held: Version,
    /// The reason why the node does not hold the newest version that is known.
    pub reason: Reason,
}

/// The reason why a node does not hold a version.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The node has not received the version yet, or has not reported it to its parent.
    Behind,
    /// The node received the version and rejected it; the text says why.
    Refused(CompactString),
}
