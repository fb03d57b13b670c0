//! The status of a failure domain, as its root writes it to the platform.

use cicadagw_unit::{Version, id};

use crate::Report;

/// How a failure domain stands.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// The failure domain.
    pub domain: id::Domain,
    /// The newest version that the root knows of.
    pub newest: Version,
    /// How the nodes of the failure domain stand.
    pub report: Report,
    /// The root that wrote this.
    pub root: id::Node,
    /// Counts the writes of this root.
    pub written: u64,
}
