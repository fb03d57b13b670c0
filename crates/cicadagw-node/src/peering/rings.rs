//! The rings between the duties of a peering node, with their capacities in messages.

use cicadagw_call::quota::{Grant, Request};
use cicadagw_endpoint::{Departures, LocalUpdate};
use cicadagw_gossip::{Call, Reply};
use cicadagw_meter::Meter;
use cicadagw_proxy::Quota;
use cicadagw_ring::{Receiver, Sender, channel};
use cicadagw_rollout::Report;

/// Capacity of the ring of changes of the backend server on this host. When it is full, the calls
/// duty keeps only the newest change.
const LOCALS_CAPACITY: usize = 64;

/// Capacity of the ring of calls to the platform and to other nodes. When it is full, a call fails
/// at once and is retried later.
const CALLS_CAPACITY: usize = 32;

/// Capacity of the ring of replies to these calls. When it is full, the platform duty waits.
const REPLIES_CAPACITY: usize = 32;

/// Capacity of the ring of requests for tokens of quotas. When it is full, a request is lost.
const QUOTA_REQUESTS_CAPACITY: usize = 256;

/// Capacity of the ring of answers to these requests. When it is full, an answer is lost.
const QUOTA_GRANTS_CAPACITY: usize = 256;

/// Capacity of the ring of stored departures. When it is full, the newest message waits.
const STORED_CAPACITY: usize = 8;

/// The ring ends held by the gossip duty.
pub(crate) struct Gossip {
    pub(crate) calls: Sender<Call>,
    pub(crate) locals: Receiver<LocalUpdate>,
    pub(crate) quota_grants: Sender<Grant>,
    pub(crate) quota_requests: Receiver<Request>,
    pub(crate) replies: Receiver<Reply>,
    pub(crate) reports: Receiver<Report>,
    pub(crate) stored: Sender<Departures>,
}

/// The ring ends held by the platform duty.
pub(crate) struct Platform {
    pub(crate) calls: Receiver<Call>,
    pub(crate) replies: Sender<Reply>,
}

/// Capacity of the ring of reports on rollouts. When it is full, a report is dropped: the next one
/// contains its counts.
const REPORTS_CAPACITY: usize = 16;

/// Every ring of a node, grouped by the duty that holds its end; `departures`, `locals`, `quota` and
/// `reports` are for the calls duty.
pub(crate) struct Rings {
    pub(crate) departures: Receiver<Departures>,
    pub(crate) gossip: Gossip,
    pub(crate) locals: Sender<LocalUpdate>,
    pub(crate) platform: Platform,
    pub(crate) quota: Quota,
    pub(crate) reports: Sender<Report>,
}

impl Rings {
    /// Creates the rings and registers their gauges with `meter`.
    pub(crate) fn new(meter: &Meter) -> Self {
        let (locals_sender, locals) = channel("locals", LOCALS_CAPACITY);
        let (calls, calls_receiver) = channel("platform-calls", CALLS_CAPACITY);
        let (replies_sender, replies) = channel("platform-replies", REPLIES_CAPACITY);
        let (requests, quota_requests) = channel("quota-requests", QUOTA_REQUESTS_CAPACITY);
        let (quota_grants, grants) = channel("quota-grants", QUOTA_GRANTS_CAPACITY);
        meter.add_ring(requests.gauge().clone());
        meter.add_ring(quota_grants.gauge().clone());
        meter.add_ring(locals_sender.gauge().clone());
        meter.add_ring(calls.gauge().clone());
        let (reports_sender, reports) = channel("reports", REPORTS_CAPACITY);
        meter.add_ring(replies_sender.gauge().clone());
        meter.add_ring(reports_sender.gauge().clone());
        let (stored, departures) = channel("departures", STORED_CAPACITY);
        meter.add_ring(stored.gauge().clone());
        Self {
            departures,
            gossip: Gossip {
                calls,
                locals,
                quota_grants,
                quota_requests,
                replies,
                reports,
                stored,
            },
            locals: locals_sender,
            platform: Platform {
                calls: calls_receiver,
                replies: replies_sender,
            },
            quota: Quota { grants, requests },
            reports: reports_sender,
        }
    }
}
