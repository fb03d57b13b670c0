//! Keys of the objects that the system stores on the platform.

use std::fmt;

use cicadagw_unit::{Digest, id};
use compact_str::{CompactString, ToCompactString, format_compact};

/// The key of an object: names separated by `/`.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(transparent)]
pub struct Key(CompactString);

impl Key {
    /// Returns the key of the head object, which references the active configuration.
    pub fn head() -> Self {
        Self("head".into())
    }

    /// Returns the key of the configuration part with `digest`.
    pub fn part(digest: Digest) -> Self {
        Self(format_compact!("part/{digest}"))
    }

    /// Returns the key of the lease of a failure domain's root.
    pub fn domain_lease(domain: &id::Domain) -> Self {
        Self(format_compact!("lease/domain/{domain}"))
    }

    /// Returns the key of the lease of a region's root.
    pub fn region_lease(region: &id::Region) -> Self {
        Self(format_compact!("lease/region/{region}"))
    }

    /// Returns the key of the lease of the fleet's root.
    pub fn fleet_lease() -> Self {
        Self("lease/fleet".into())
    }

    /// Returns the key of the directory of a failure domain, which lists its root and its nodes with
    /// a registered backend server.
    pub fn directory(domain: &id::Domain) -> Self {
        Self(format_compact!("directory/{domain}"))
    }

    /// Returns the key of the status of a failure domain.
    pub fn status(domain: &id::Domain) -> Self {
        Self(format_compact!("status/{domain}"))
    }

    /// Returns the key of the registration of a node.
    pub fn node(node: &id::Node) -> Self {
        Self(format_compact!("{}{node}", Self::NODE_PREFIX))
    }

    /// Returns the key of the order of a rollout of a service.
    pub fn rollout(service: &id::Service) -> Self {
        Self(format_compact!("{}{service}", Self::ROLLOUT_PREFIX))
    }

    /// The prefix of the keys of all orders of rollouts.
    pub const ROLLOUT_PREFIX: &str = "rollout/";

    /// The prefix of the keys of all node registrations.
    pub const NODE_PREFIX: &str = "node/";

    /// The prefix of the keys of all directories.
    pub const DIRECTORY_PREFIX: &str = "directory/";

    /// The prefix of the keys of all status objects.
    pub const STATUS_PREFIX: &str = "status/";

    /// Creates a key from `text`, such as one that the platform sent, without validation.
    pub fn from_wire(text: &str) -> Self {
        Self(text.to_compact_string())
    }

    /// Returns the key as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
