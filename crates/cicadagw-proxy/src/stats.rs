//! The counters, the latency histogram and the published state of the proxy.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use cicadagw_call::balancer::Summary;
use cicadagw_call::{Load, Outcome, Reason, lifecycle, quota};
use cicadagw_chart::Name;
use cicadagw_http::Ledger;
use cicadagw_meter::{Histogram, Latency};
use cicadagw_unit::id;
use cicadagw_unit::rate::{CallRate, Priority};
use cicadagw_unit::size::Slots;

use crate::reply::End;

/// How many priorities are counted apart; the last count includes all less urgent calls.
pub const PRIORITIES: usize = 4;

/// The counters, the latency histogram and the state that the proxy publishes; other duties may
/// read them at any time.
#[derive(Debug, Default)]
pub struct Stats {
    added_latency: Histogram,
    answered: AtomicU64,
    connections_closed: AtomicU64,
    departures_acknowledged: AtomicU64,
    departures_withheld: AtomicU64,
    held_bytes: AtomicU64,
    in_flight: AtomicU64,
    limited: AtomicU64,
    limited_endpoints: AtomicU64,
    not_run: AtomicU64,
    over_quota: AtomicU64,
    quota_unknown: AtomicU64,
    quotas: Mutex<quota::Counts>,
    /// Calls of local callers that were not run, by the position of the reason in [`Reason::ALL`].
    refused: [AtomicU64; Reason::ALL.len()],
    retries: AtomicU64,
    shed: [AtomicU64; PRIORITIES],
    unknown: AtomicU64,
    state: Mutex<State>,
}

/// The values of the counters, read one after the other, so that they may be slightly inconsistent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Counts {
    /// Calls of local callers that got the response of a backend server.
    pub answered: u64,
    /// Connections of clients that were closed or refused to make room for others.
    pub connections_closed: u64,
    /// Departures of local backend servers that were acknowledged.
    pub departures_acknowledged: u64,
    /// Departures that were not acknowledged, since the platform had not stored them in time.
    pub departures_withheld: u64,
    /// The memory that connections and calls of clients hold, in bytes.
    pub held_bytes: u64,
    /// Calls in flight, including those of other nodes.
    pub in_flight: u64,
    /// Calls refused because of the rate limit of a local backend server.
    pub limited: u64,
    /// Known endpoints whose backend servers name a rate limit.
    pub limited_endpoints: u64,
    /// Calls of local callers whose requests were not executed.
    pub not_run: u64,
    /// Calls refused because their client account had used its quota up.
    pub over_quota: u64,
    /// Calls refused because no owner of the quota of their client account answered.
    pub quota_unknown: u64,
    /// The client accounts with quotas that make calls at this node, and the tokens for them.
    pub quotas: quota::Counts,
    /// Attempts that took a retry from the retry budget: retries and hedges, but not new attempts
    /// after a refusal without execution.
    pub retries: u64,
    /// Calls shed by the admission control of a local backend server.
    pub shed: u64,
    /// These calls by priority, the most urgent first.
    pub shed_by_priority: [u64; PRIORITIES],
    /// Calls of local callers of which it is not known whether they were executed.
    pub unknown: u64,
}

/// The state of the proxy, as last published.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// The backend servers of this host.
    pub backends: Vec<Backend>,
    /// Whether the node is shutting down.
    pub is_stopping: bool,
    /// The endpoints that calls of this node go to, by service.
    pub services: Vec<(id::Service, Vec<Summary>)>,
}

/// A backend server of this host.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// The endpoint id.
    pub endpoint: id::Endpoint,
    /// The service.
    pub service: id::Service,
    /// The lifecycle state.
    pub state: lifecycle::State,
    /// The rate of calls that it takes from the whole fleet, while it names one.
    pub limit: Option<CallRate>,
    /// The load as counted by the node.
    pub load: Load,
    /// The number of running calls according to the backend server itself.
    pub says_in_flight: Slots,
}

impl Stats {
    /// Returns the values of the counters.
    pub fn counts(&self) -> Counts {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let shed_by_priority = self.shed.each_ref().map(read);
        Counts {
            answered: read(&self.answered),
            connections_closed: read(&self.connections_closed),
            departures_acknowledged: read(&self.departures_acknowledged),
            departures_withheld: read(&self.departures_withheld),
            held_bytes: read(&self.held_bytes),
            in_flight: read(&self.in_flight),
            limited: read(&self.limited),
            limited_endpoints: read(&self.limited_endpoints),
            not_run: read(&self.not_run),
            over_quota: read(&self.over_quota),
            quota_unknown: read(&self.quota_unknown),
            quotas: self.quotas(),
            retries: read(&self.retries),
            shed: shed_by_priority.iter().sum(),
            shed_by_priority,
            unknown: read(&self.unknown),
        }
    }

    /// Returns how many calls of local callers were not run, for each reason.
    pub fn refused(&self) -> impl Iterator<Item = (Reason, u64)> + '_ {
        let counts = Reason::ALL.iter().copied().zip(&self.refused);
        counts.map(|(reason, count)| (reason, count.load(Ordering::Relaxed)))
    }

    /// Returns the state that was last published.
    pub fn state(&self) -> State {
        self.state.lock().map_or_else(
            |poisoned| poisoned.into_inner().clone(),
            |state| state.clone(),
        )
    }

    /// Returns the histogram of the latency that this node added to answered calls.
    pub fn latency(&self) -> Latency {
        self.added_latency.read()
    }

    /// Records the latency that this node added to an answered call.
    pub(crate) fn record_added_latency(&self, time: Duration) {
        self.added_latency.record(time);
    }

    /// Counts a call of a local caller by its outcome, and by the reason if it was not run.
    pub(crate) fn count_end(&self, end: &End) {
        if let End::NotRun(reason) = end
            && let Some(index) = Reason::ALL.iter().position(|other| other == reason)
        {
            self.refused[index].fetch_add(1, Ordering::Relaxed);
        }
        let count = match end.outcome() {
            Outcome::Answered => &self.answered,
            Outcome::NotRun => &self.not_run,
            Outcome::Unknown => &self.unknown,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// Publishes what `ledger` counts.
    pub(crate) fn set_ledger(&self, ledger: &Ledger) {
        self.connections_closed
            .store(ledger.closed(), Ordering::Relaxed);
        self.held_bytes
            .store(ledger.held() as u64, Ordering::Relaxed);
    }

    pub(crate) fn count_retry(&self) {
        self.retries.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_limited(&self) {
        self.limited.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the request of a backend server that leaves, by whether it was acknowledged.
    pub(crate) fn count_departure(&self, is_acknowledged: bool) {
        let count = if is_acknowledged {
            &self.departures_acknowledged
        } else {
            &self.departures_withheld
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// Sets the number of known endpoints whose backend servers name a rate limit.
    pub(crate) fn set_limited_endpoints(&self, number: u64) {
        self.limited_endpoints.store(number, Ordering::Relaxed);
    }

    /// Counts a call that got no token of its account's quota.
    pub(crate) fn count_quota_refusal(&self, reason: Reason) {
        let count = match reason {
            Reason::QuotaUnknown => &self.quota_unknown,
            _ => &self.over_quota,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// Sets the counts of quotas.
    pub(crate) fn set_quotas(&self, counts: quota::Counts) {
        *self.quotas.lock().unwrap_or_else(PoisonError::into_inner) = counts;
    }

    fn quotas(&self) -> quota::Counts {
        *self.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn count_shed(&self, priority: Priority) {
        let index = usize::from(priority.get()).min(PRIORITIES - 1);
        self.shed[index].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn start_call(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn end_call(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Replaces the published state.
    pub(crate) fn publish(&self, state: State) {
        match self.state.lock() {
            Ok(mut published) => *published = state,
            Err(mut poisoned) => **poisoned.get_mut() = state,
        }
    }
}
