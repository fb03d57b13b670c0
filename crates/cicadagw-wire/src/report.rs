//! How a part of the tree stands.

use cicadagw_unit::{Version, id};
use compact_str::CompactString;
use smallvec::SmallVec;

/// How many laggards a report names.
pub const LAGGARDS_MAX: usize = 4;

/// How a node and those below it stand, as one aggregate.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The lowest version that any of them holds.
    pub lowest: Version,
    /// How many nodes there are.
    pub count: u32,
    /// How many of them stand before a backend server.
    pub serving: u32,
    /// Some of those that hold less than the newest version, or refused a version.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub laggards: SmallVec<[Laggard; LAGGARDS_MAX]>,
}

/// A node that does not hold the newest version, and why.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Laggard {
    /// The node.
    pub node: id::Node,
    /// What it holds.
    pub held: Version,
    /// Why.
    pub reason: Reason,
}

/// Why a node does not hold a version.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// It has not got it yet.
    Behind,
    /// It was offered a version that it had to refuse.
    Refused(CompactString),
}
