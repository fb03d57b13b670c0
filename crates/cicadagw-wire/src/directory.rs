//! The directory of a failure domain, which its root writes to the platform.

use cicadagw_unit::id;

use crate::Member;

/// The nodes of a failure domain that new nodes may ask to join: its root, and the nodes with a
/// registered backend server that the root knows of.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Directory {
    /// The failure domain.
    pub domain: id::Domain,
    /// The nodes, ordered by name.
    pub members: Vec<Member>,
    /// The region that contains the failure domain.
    pub region: id::Region,
}
