//! The keys of the system's objects.

use std::fmt;

use cicadagw_unit::{Digest, id};
use compact_str::{CompactString, ToCompactString, format_compact};

/// The key of an object: names joined by `/`.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(transparent)]
pub struct Key(CompactString);

impl Key {
    /// The head, which names the configuration in force.
    pub fn head() -> Self {
        Self("head".into())
    }

    /// A part of a configuration.
    pub fn part(digest: Digest) -> Self {
        Self(format_compact!("part/{digest}"))
    }

    /// The lease of the root of a failure domain.
    pub fn domain_lease(domain: &id::Domain) -> Self {
        Self(format_compact!("lease/domain/{domain}"))
    }

    /// The lease of the root of a region.
    pub fn region_lease(region: &id::Region) -> Self {
        Self(format_compact!("lease/region/{region}"))
    }

    /// The lease of the root of the fleet.
    pub fn fleet_lease() -> Self {
        Self("lease/fleet".into())
    }

    /// The members of a failure domain.
    pub fn directory(domain: &id::Domain) -> Self {
        Self(format_compact!("directory/{domain}"))
    }

    /// The status of a failure domain.
    pub fn status(domain: &id::Domain) -> Self {
        Self(format_compact!("status/{domain}"))
    }

    /// What a node says of itself.
    pub fn node(node: &id::Node) -> Self {
        Self(format_compact!("{}{node}", Self::NODE_PREFIX))
    }

    /// What every key of a node begins with.
    pub const NODE_PREFIX: &str = "node/";

    /// What every key of a directory begins with.
    pub const DIRECTORY_PREFIX: &str = "directory/";

    /// What every status key begins with.
    pub const STATUS_PREFIX: &str = "status/";

    /// Reads a key as the platform sent it.
    pub fn from_wire(text: &str) -> Self {
        Self(text.to_compact_string())
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
