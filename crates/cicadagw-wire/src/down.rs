//! What a parent sends to its children.

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
    /// The parent lives, and holds this snapshot.
    #[serde(rename = "beat")]
    Heartbeat(Stamp),
    /// What leads from an earlier snapshot to the one that the parent holds.
    Delta(Box<Delta>),
    /// The digests of the endpoints that the parent knows, by failure domain.
    Digests(BTreeMap<id::Domain, Digest>),
    /// News of endpoints.
    Endpoints(Vec<Record>),
    /// The nodes from the root down to the parent, both included.
    Path(Box<Path>),
    /// Every node of the failure domain is to say that it is there.
    Census,
    /// The whole snapshot that the parent holds.
    #[serde(rename = "whole")]
    Snapshot(Box<Snapshot>),
}

/// The nodes from the root down to some node, both included.
pub type Path = SmallVec<[Member; 4]>;
