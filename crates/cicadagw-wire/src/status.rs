//! The status of a failure domain, which its root writes to the platform.

use cicadagw_unit::{Version, id};

use crate::Report;

/// The status of a failure domain.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// The failure domain.
    pub domain: id::Domain,
    /// The newest version that the root has seen.
    pub newest: Version,
    /// The aggregate status of the nodes of the failure domain.
    pub report: Report,
    /// The root that wrote the status.
    pub root: id::Node,
    /// The number of times that this root has written the status.
    pub written: u64,
}
