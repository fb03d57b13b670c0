//! The backend servers that said in a response that they are leaving.

use std::collections::VecDeque;

use cicadagw_unit::id;

/// How many are remembered; beyond that, the oldest is forgotten. Far more than leave while a record
/// that calls them ready may still arrive.
const LEAVING_MAX: usize = 1_024;

/// The backend servers that are leaving. It outlives their records: a restarted node may publish that
/// one is ready.
#[derive(Debug, Default)]
pub(crate) struct Leaving(VecDeque<Start>);

/// A start of a backend server; a later one under the same id is not leaving.
#[derive(Debug, PartialEq)]
struct Start {
    endpoint: id::Endpoint,
    started_ms: u64,
}

impl Leaving {
    /// Adds a start of a backend server; returns whether it is new.
    pub(crate) fn insert(&mut self, endpoint: &id::Endpoint, started_ms: u64) -> bool {
        if self.contains(endpoint, started_ms) {
            return false;
        }
        if self.0.len() == LEAVING_MAX {
            self.0.pop_front();
        }
        self.0.push_back(Start {
            endpoint: endpoint.clone(),
            started_ms,
        });
        true
    }

    /// Returns whether this start of a backend server is leaving.
    pub(crate) fn contains(&self, endpoint: &id::Endpoint, started_ms: u64) -> bool {
        let is_same = |start: &Start| start.endpoint == *endpoint && start.started_ms == started_ms;
        self.0.iter().any(is_same)
    }
}
