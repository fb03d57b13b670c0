//! Clusters.

use cicadagw_unit::id;
use cicadagw_unit::rate::Permille;

/// A service as routes see it, with its endpoint set.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// The service whose endpoints make up the endpoint set.
    pub service: id::Service,
    /// The share of endpoints that must look healthy; below it, health is not looked at.
    pub panic_threshold: Permille,
    /// The secret presented to the backend servers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub secret: Option<id::Secret>,
}
