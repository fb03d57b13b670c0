//! The expected cost of a call to an endpoint, by which endpoints are compared.

use cicadagw_unit::id;
use cicadagw_unit::rate::Priority;
use cicadagw_unit::time::{Span, Timestamp};

use super::endpoint::{AVERAGE_RELATIVE_WORK, Endpoint, Profile, TIERS};

/// The network round trip to an endpoint of each tier, in microseconds: typical values between
/// hosts, failure domains and regions.
const ROUND_TRIP_US: [u64; TIERS] = [0, 500, 1_500, 62_000];

/// The cost per KiB of response from each tier, expressed in microseconds of delay. Traffic between
/// failure domains is billed; traffic between regions is billed at about four times that rate, and
/// all of it shares one narrow link.
const TRANSFER_US_PER_KIB: [u64; TIERS] = [0, 0, 6_000, 25_000];

/// The delay that a fully loaded endpoint adds to a call, in microseconds. It grows with the square
/// of the load, because backend servers slow down when they are nearly full.
const FULL_LOAD_US: u64 = 20_000;

/// The fixed cost of a call that has to wait for a slot, in microseconds, because the estimate of
/// the wait may be wrong.
const QUEUE_US: u64 = 100_000;

/// The cost of a failure in microseconds: that of the retry that follows it.
const FAILURE_US: u64 = 500_000;

/// The largest multiple of its time at which the delay of a call counts: a call that misses its
/// target anyway still gains from an earlier response.
const LATE_FACTOR_MAX: u64 = 2;

/// A call for which an endpoint is wanted.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'c> {
    /// The policy of the call.
    pub policy: &'c id::Policy,
    /// The priority of the call.
    pub priority: Priority,
    /// The time that is left until the latency target of the call; without one, every delay counts
    /// alike.
    pub target: Option<Span>,
}

/// What is compared: the state of the service at the time of the choice.
#[derive(Clone, Copy, Debug)]
pub(super) struct Comparison {
    pub(super) now: Timestamp,
    pub(super) profile: Profile,
    /// The time that is left until the latency target.
    pub(super) target: Option<Span>,
    /// The average utilization of all endpoints, in thousandths of their slots.
    pub(super) utilization: u64,
    /// Whether the failures of endpoints count.
    pub(super) counts_failures: bool,
}

impl Comparison {
    /// Returns the expected cost of the call at an endpoint of `tier`, in microseconds of delay.
    pub(super) fn cost(&self, tier: usize, endpoint: &Endpoint) -> u64 {
        let (now, profile) = (self.now, self.profile);
        let work = profile.work_us * endpoint.relative_work_now(now) / AVERAGE_RELATIVE_WORK;
        let load = endpoint.load(now, self.utilization) + 1_000;
        let capacity = endpoint.capacity(now, work).max(1);
        let busy = FULL_LOAD_US * load.min(capacity) / capacity * load.min(capacity) / capacity;
        let wait = match load.checked_sub(capacity) {
            None | Some(0) => 0,
            Some(excess) => QUEUE_US + work * excess / capacity,
        };
        let transfer = profile.bytes * TRANSFER_US_PER_KIB[tier] / 1_024;
        let failure_rate = if self.counts_failures {
            endpoint.failure_rate.get(now)
        } else {
            0
        };
        let failures = failure_rate * FAILURE_US / 1_000;
        self.delay_cost(ROUND_TRIP_US[tier] + work + busy + wait) + transfer + failures
    }

    /// Returns the cost of a response after `delay_us`. It grows with the square of the share of the
    /// time until the target that it takes up: of two responses well within it, the earlier one is
    /// hardly of more use to the caller, but close to it the delay decides.
    fn delay_cost(&self, delay_us: u64) -> u64 {
        let Some(target) = self.target else {
            return delay_us;
        };
        let target_us = target.get().saturating_mul(1_000).max(1);
        delay_us.saturating_mul(delay_us.min(target_us.saturating_mul(LATE_FACTOR_MAX))) / target_us
    }
}
