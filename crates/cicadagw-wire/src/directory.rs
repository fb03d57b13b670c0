//! The members of a failure domain, as its root writes them to the platform.

use cicadagw_unit::id;

use crate::Member;

/// The members of a failure domain.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Directory {
    /// The failure domain.
    pub domain: id::Domain,
    /// Its nodes, in the order of their names.
    pub members: Vec<Member>,
    /// The region.
    pub region: id::Region,
}
