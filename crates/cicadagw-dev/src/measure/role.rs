//! The role of a node in the distribution tree.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::de::IgnoredAny;

/// The states of the lease state chart in which this node holds the lease: also while it writes a
/// renewal, and while it reads the lease again after a conflict or a lost response.
const HELD_STATES: [&str; 3] = ["held", "renewing", "doubting"];

/// The role of a node in the distribution tree. A node that holds several leases has the role of
/// the one with the widest scope.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// It is the root of the whole fleet.
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

/// The parts of the admin page `/dump` from which a node's role follows.
#[derive(Clone, Debug, Default, serde::Deserialize)]
pub struct Dump {
    /// The direct children of this node.
    pub children: Vec<IgnoredAny>,
    /// The chart state of each lease, by scope: `fleet`, `region` or `domain`.
    pub leases: BTreeMap<CompactString, CompactString>,
    /// The nodes from the root down to the parent.
    pub path: Vec<IgnoredAny>,
}

impl Role {
    /// Every role, from the fleet root down.
    pub const ALL: [Self; 5] = [
        Self::FleetRoot,
        Self::RegionRoot,
        Self::DomainRoot,
        Self::Interior,
        Self::Leaf,
    ];

    /// Returns the name of the role in the names of figures.
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
        let holds = |scope: &str| {
            let state = dump.leases.get(scope);
            state.is_some_and(|state| HELD_STATES.contains(&state.as_str()))
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
