//! The state of a balancer, for dumps.

use cicadagw_unit::id;
use cicadagw_unit::time::Timestamp;

use super::Balancer;

/// The state of an endpoint, for dumps.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Summary {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Calls of this node that are in flight to the endpoint.
    pub in_flight: u32,
    /// Consecutive failures. After an ejection the count starts one below the limit.
    pub failures: u32,
    /// Whether the endpoint is ejected because of its failures.
    pub is_ejected: bool,
}

impl Balancer {
    /// Returns the state of each endpoint.
    pub fn summaries(&self, now: Timestamp) -> impl Iterator<Item = Summary> + '_ {
        self.endpoints.iter().map(move |endpoint| Summary {
            endpoint: endpoint.record.endpoint.clone(),
            in_flight: endpoint.own_in_flight,
            failures: endpoint.failures,
            is_ejected: !endpoint.is_healthy(now),
        })
    }
}
