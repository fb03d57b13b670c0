//! Messages from a parent to its children.

use std::collections::BTreeMap;

use cicadagw_config::{Delta, Snapshot, Stamp};
use cicadagw_endpoint::Record;
use cicadagw_unit::{Digest, id};
use smallvec::SmallVec;

use crate::Member;

/// A message from a parent to a child.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Down {
    /// Shows that the parent is alive, with the stamp of the snapshot that it holds.
    #[serde(rename = "beat")]
    Heartbeat(Stamp),
    /// The difference between an earlier snapshot and the one that the parent holds.
    Delta(Box<Delta>),
    /// The digests of the parent's endpoint table, by failure domain, for comparison with the child's.
    Digests(BTreeMap<id::Domain, Digest>),
    /// New or changed endpoint records.
    Endpoints(Vec<Record>),
    /// The ancestors of the child, from the root to the parent, both inclusive.
    Path(Box<Path>),
    /// A request that every node of the failure domain reports its presence with [`crate::Up::Present`].
    Census,
    /// The complete snapshot that the parent holds.
    #[serde(rename = "whole")]
    Snapshot(Box<Snapshot>),
}

/// The nodes on the way from the root to some node, both inclusive.
pub type Path = SmallVec<[Member; 4]>;
