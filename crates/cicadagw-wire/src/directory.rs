//! The directory of a failure domain, which its root writes to the platform.

use cicadagw_unit::id;

use crate::Member;

/// The nodes of a failure domain, as far as its root knows them.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Directory {
    /// The failure domain.
    pub domain: id::Domain,
    /// The nodes of the failure domain, ordered by name.
    pub members: Vec<Member>,
    /// The region that contains the failure domain.
    pub region: id::Region,
}
