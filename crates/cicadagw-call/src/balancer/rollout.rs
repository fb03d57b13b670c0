//! The choice between the releases of a service, before that of an endpoint.

use std::sync::Arc;

use cicadagw_endpoint::Record;
use cicadagw_rollout::{Directive, Split};
use cicadagw_unit::id;
use cicadagw_unit::rate::Permille;
use cicadagw_unit::time::Timestamp;
use rand::Rng;

use super::{Balancer, Demand};

impl Balancer {
    /// Sets what the rollout of the service asks for; needed after each update of the endpoints.
    pub fn set_rollout(&mut self, rollout: Option<Arc<Directive>>) {
        let records = self.endpoints.iter().map(|endpoint| &endpoint.record);
        self.split = Split::new(rollout, records);
    }

    /// Chooses an endpoint for the call of `demand` that is not in `tried`. While a rollout goes on,
    /// it first draws the release; without one, the choice is among all endpoints.
    pub fn choose(
        &self,
        now: Timestamp,
        rng: &mut impl Rng,
        tried: &[id::Endpoint],
        panic_threshold: Permille,
        demand: Demand<'_>,
    ) -> Option<&Record> {
        let draw = self.split.draw(rng, !tried.is_empty());
        if let Some(chosen) = self.choose_from(draw, now, rng, tried, panic_threshold, demand) {
            return Some(chosen);
        }
        let draw = self.split.instead_of(draw)?;
        self.choose_from(draw, now, rng, tried, panic_threshold, demand)
    }
}
