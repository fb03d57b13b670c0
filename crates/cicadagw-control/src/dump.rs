//! What a node says of its control when it is asked.

use std::collections::BTreeMap;

use cicadagw_config::Stamp;
use cicadagw_endpoint::Table;
use cicadagw_unit::{Version, id};
use cicadagw_wire::{Member, Report};

use crate::{Identity, Rank};

/// The state of a node's control; it holds no secrets.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Dump {
    /// The nodes that hang below this one.
    pub children: Vec<Member>,
    /// Every endpoint known.
    pub endpoints: Table,
    /// The snapshot held.
    pub held: Stamp,
    /// The newest version heard of.
    pub highest_seen: Version,
    /// Who the node is.
    pub identity: Identity,
    /// The state of each lease's chart.
    pub leases: BTreeMap<Rank, String>,
    /// The nodes from the root down to the parent.
    pub path: Vec<Member>,
    /// The preset in force.
    pub preset: Option<id::Preset>,
    /// Why the newest refused version was refused.
    pub refused: Option<(Version, String)>,
    /// How this node and those below it stand.
    pub report: Report,
    /// The state of the chart of the link to the parent.
    pub uplink: String,
}
