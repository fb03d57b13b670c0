//! The endpoints of a host that are gone and cannot register again.

use std::collections::VecDeque;

use cicadagw_unit::id;
use cicadagw_unit::time::Timestamp;

/// How many ids of gone endpoints are kept. Beyond that, the oldest id is evicted and may be
/// registered again.
const GONE_MAX: usize = 1_024;

/// The endpoints that are gone, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct GoneList(VecDeque<Entry>);

#[derive(Clone, Debug)]
struct Entry {
    endpoint: id::Endpoint,
    /// The start that is gone, in milliseconds since the Unix epoch; a later one may register.
    started_ms: u64,
    /// When any start may register again; never if it is `None`.
    until: Option<Timestamp>,
}

impl GoneList {
    /// Returns whether the start of an endpoint is gone.
    pub(crate) fn contains(
        &self,
        now: Timestamp,
        endpoint: &id::Endpoint,
        started_ms: u64,
    ) -> bool {
        self.0.iter().any(|gone| {
            gone.endpoint == *endpoint
                && gone.started_ms >= started_ms
                && gone.until.is_none_or(|until| now < until)
        })
    }

    /// Keeps the start of an endpoint as gone, for good unless `until` says otherwise.
    pub(crate) fn insert(
        &mut self,
        endpoint: id::Endpoint,
        started_ms: u64,
        until: Option<Timestamp>,
    ) {
        self.0.push_back(Entry {
            endpoint,
            started_ms,
            until,
        });
        if self.0.len() > GONE_MAX {
            self.0.pop_front();
        }
    }

    /// Lets an endpoint register again.
    pub(crate) fn remove(&mut self, endpoint: &id::Endpoint) {
        self.0.retain(|gone| gone.endpoint != *endpoint);
    }
}
