//! Clusters.

use cicadagw_unit::id;
use cicadagw_unit::rate::Permille;

/// A set of endpoints of one service, to which routes send calls.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// The service whose endpoints the cluster consists of.
    pub service: id::Service,
    /// The fraction of endpoints that must be healthy; with fewer, load balancing ignores health.
    pub panic_threshold: Permille,
    /// The secret that calls present to the backend servers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub secret: Option<id::Secret>,
}
