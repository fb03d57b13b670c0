//! The part of a node in rollouts of the services of its local backend servers.

use std::sync::Arc;

use cicadagw_call::lifecycle::Announcement;
use cicadagw_rollout::{Directive, Phase, Report, Tally};
use cicadagw_unit::id;
use cicadagw_unit::time::Span;
use smallvec::SmallVec;

use super::Node;
use crate::reporter::Observation;

/// Every how many maintenance periods the counts are reported; in each of them while the last calls
/// to the other releases end.
const REPORT_TURNS: u32 = 2;

impl Node {
    /// Returns whether a rollout takes the calls away from a local backend server, so that it must get
    /// none even from nodes that have not heard of that. If no other backend server could take them,
    /// it still gets them.
    pub(crate) fn is_closed_by_rollout(&self, endpoint: &id::Endpoint) -> bool {
        let registry = self.registry.borrow();
        let Some((_, announcement)) = registry.get(endpoint) else {
            return false;
        };
        let rollout = self.rollout_of(announcement);
        rollout.is_some_and(|rollout| self.is_closed(&rollout, announcement))
    }

    fn is_closed(&self, rollout: &Directive, announcement: &Announcement) -> bool {
        let started_ms = announcement.order.started_ms;
        if !rollout.refuses(announcement.release.as_ref(), started_ms) {
            return false;
        }
        let endpoints = &self.view.load().endpoints;
        let records = endpoints.get(&announcement.service);
        let mut records = records.into_iter().flatten();
        records.any(|record| !rollout.refuses(record.release.as_ref(), record.started_ms))
    }

    fn rollout_of(&self, announcement: &Announcement) -> Option<Arc<Directive>> {
        let rollouts = &self.view.load().rollouts;
        rollouts.get(&announcement.service).cloned()
    }

    /// Starts to observe a call to a local backend server, if a rollout of its service goes on.
    pub(crate) fn observe_call(
        &self,
        endpoint: &id::Endpoint,
        policy: &id::Policy,
    ) -> Option<Observation<'_>> {
        let registry = self.registry.borrow();
        let (_, announcement) = registry.get(endpoint)?;
        let rollout = self.rollout_of(announcement)?;
        let observation = Observation {
            reporter: &self.reporter,
            endpoint: endpoint.clone(),
            policy: policy.clone(),
            started_ms: started_ms(&rollout)?,
            is_warm: announcement.warm_up == Span::new(0),
        };
        Some(observation.begin())
    }

    /// Reports on the local backend servers whose service has a rollout that goes on.
    pub(crate) fn report_rollouts(&self) {
        let registry = self.registry.borrow();
        let backends = self.local_backends.borrow();
        let is_turn = self.reporter.next_turn(REPORT_TURNS);
        for (endpoint, backend) in &*backends {
            let Some((_, announcement)) = registry.get(endpoint) else {
                continue;
            };
            let Some(rollout) = self.rollout_of(announcement) else {
                continue;
            };
            let Some(started_ms) = started_ms(&rollout) else {
                continue;
            };
            if !is_turn && rollout.phase() != Some(Phase::Closing) {
                continue;
            }
            self.reporter.send(Report {
                endpoint: endpoint.clone(),
                in_flight: backend.unfinished(),
                policies: SmallVec::new(),
                refuses: self.is_closed(&rollout, announcement),
                release: announcement.release.clone(),
                service: announcement.service.clone(),
                started_ms,
                total: Tally::default(),
            });
        }
        self.reporter.retain(|endpoint| {
            let announcement = registry.get(endpoint).map(|(_, known)| known);
            let rollout = announcement.and_then(|known| self.rollout_of(known));
            rollout.is_some_and(|rollout| rollout.is_running())
        });
    }
}

/// Returns what identifies a rollout that goes on under a leader.
fn started_ms(rollout: &Directive) -> Option<u64> {
    let status = rollout.status.as_ref().filter(|_| rollout.is_running())?;
    status.leader.as_ref().map(|_| status.started_ms)
}
