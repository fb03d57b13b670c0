//! The diagnostic dump of a node's control state.

use std::collections::BTreeMap;

use cicadagw_config::Stamp;
use cicadagw_endpoint::Table;
use cicadagw_unit::{Version, id};
use cicadagw_wire::{Member, Report};

use crate::{Identity, Scope};

/// The control state of a node, as the admin interface returns it; contains no secrets.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Dump {
    /// The children of this node in the tree.
    pub children: Vec<Member>,
    /// All endpoints known.
    pub endpoints: Table,
    /// Stamp of the current snapshot.
    pub held: Stamp,
    /// The highest version known to exist, whether this node has its snapshot or not.
    pub highest_seen: Version,
    /// Name, addresses and location of the node.
    pub identity: Identity,
    /// The chart state of each lease.
    pub leases: BTreeMap<Scope, String>,
    /// The nodes from the root down to the parent.
    pub path: Vec<Member>,
    /// The preset of the current snapshot.
    pub preset: Option<id::Preset>,
    /// The last version refused and the reason, unless the current version is at least as high.
    pub refused: Option<(Version, String)>,
    /// Aggregated state of this node and its descendants.
    pub report: Report,
    /// The chart state of the link to the parent.
    pub uplink: String,
}
