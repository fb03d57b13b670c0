//! What a node does in the tree.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::de::IgnoredAny;

/// The states of a lease that is held, also while its holder writes or asks again.
const HELD: [&str; 3] = ["held", "renewing", "doubting"];

/// What a node does in the tree; one that holds several leases counts by the highest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// It is the root of all.
    FleetRoot,
    /// It is the root of a region.
    RegionRoot,
    /// It is the root of a failure domain.
    DomainRoot,
    /// It has children and holds no lease.
    Interior,
    /// It has no children.
    Leaf,
}

/// What of a node's dump tells its role.
#[derive(Clone, Debug, Default, serde::Deserialize)]
pub struct Dump {
    /// The nodes that hang below this one.
    pub children: Vec<IgnoredAny>,
    /// The state of each lease's chart.
    pub leases: BTreeMap<CompactString, CompactString>,
    /// The nodes from the root down to the parent.
    pub path: Vec<IgnoredAny>,
}

impl Role {
    /// Every role, from the root down.
    pub const ALL: [Self; 5] = [
        Self::FleetRoot,
        Self::RegionRoot,
        Self::DomainRoot,
        Self::Interior,
        Self::Leaf,
    ];

    /// Returns the name, for figures.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::FleetRoot => "fleet-root",
            Self::RegionRoot => "region-root",
            Self::DomainRoot => "domain-root",
            Self::Interior => "interior",
            Self::Leaf => "leaf",
        }
    }
}

impl From<&Dump> for Role {
    fn from(dump: &Dump) -> Self {
        let holds = |rank: &str| {
            let state = dump.leases.get(rank);
            state.is_some_and(|state| HELD.contains(&state.as_str()))
        };
        if holds("fleet") {
            Self::FleetRoot
        } else if holds("region") {
            Self::RegionRoot
        } else if holds("domain") {
            Self::DomainRoot
        } else if dump.children.is_empty() {
            Self::Leaf
        } else {
            Self::Interior
        }
    }
}
