//! The load balancer of one service.

use std::collections::BTreeMap;

use cicadagw_endpoint::Record;
use cicadagw_rollout::{Draw, Split};
use cicadagw_unit::id;
use cicadagw_unit::rate::{CallRate, Permille, Priority};
use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::{Span, Timestamp};
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use super::cost::{Comparison, Demand};
use super::endpoint::{AVERAGE_RELATIVE_WORK, Endpoint, Profile, Report, TIERS, endpoint_for};
use super::utilization::Utilization;
use crate::Load;
use crate::average::{RESPONSE_MAX, smooth};

/// The average response size in bytes from which calls stay in the node's region while it has a
/// healthy endpoint, even if all endpoints there are full. A few responses of this size saturate
/// the link between regions and delay all other traffic on it.
const LOCAL_RESPONSE_BYTES_MIN: u64 = 48 << 10;

/// The range to which one sample of an endpoint's relative work time is clamped, in thousandths of
/// the average.
const RELATIVE_WORK_RANGE: std::ops::RangeInclusive<u64> = 100..=20_000;

/// The failure rate in thousandths below which an endpoint counts as reliable. If no endpoint is,
/// the failures likely have a common cause behind the endpoints, and a retry would only repeat the
/// calls that they make.
const RELIABLE_FAILURE_PERMILLE_MAX: u64 = 200;

/// The longest work time of one sample; another node may report an odd one.
const WORK_MAX: Span = Span::seconds(600);

/// How many endpoints of a tier are compared. They are sampled at random, so that nodes with the
/// same information do not all choose the same one.
const SAMPLE_SIZE: usize = 4;

/// Where a node runs; decides the tier of each endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Locality {
    /// The failure domain of its host.
    pub domain: id::Domain,
    /// The id of the node; its own endpoints are in the first tier.
    pub node: id::Node,
    /// The region of its host.
    pub region: id::Region,
}

/// The result of an attempt with regard to the health of the endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// The endpoint responded with any other status than the ones below.
    Success,
    /// The attempt was lost, its deadline expired, the backend server itself refused the call, or
    /// it responded with 500, 502 or 504.
    Failure,
    /// No connection to the endpoint or its node could be established.
    Unreachable,
    /// The call was not executed for any other reason, or the endpoint responded with 503; this
    /// says nothing about the endpoint's health.
    Neutral,
}

/// A load balancer over the endpoints of one service, with what this node has observed of each.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    /// The endpoints, sorted by id.
    pub(super) endpoints: Vec<Endpoint>,
    /// Indices into `endpoints`, by locality tier, nearest first.
    tiers: [SmallVec<[usize; 8]>; TIERS],
    /// Whether [`Self::update`] was called before.
    is_updated: bool,
    /// The average work time and response size of calls, by policy.
    profiles: BTreeMap<id::Policy, Profile>,
    /// How the calls are split between the releases of the service.
    pub(super) split: Split,
    /// The average utilization in the load reports of the endpoints.
    utilization: Utilization,
}

/// The endpoints of one tier that are eligible for a call.
type Tier<'m> = SmallVec<[&'m Endpoint; 8]>;

impl Balancer {
    /// Replaces the set of endpoints by those of `records`, which accept calls now. Observations of
    /// endpoints that stay are kept. Endpoints that are added after the first update go through
    /// slow start: their share of the calls rises gradually.
    pub fn update(&mut self, now: Timestamp, own: &Locality, records: &[Record]) {
        let added = self.is_updated.then_some(now);
        let mut previous = std::mem::take(&mut self.endpoints);
        self.endpoints = records
            .iter()
            .map(|record| endpoint_for(&mut previous, record, added))
            .collect();
        self.endpoints
            .sort_by(|left, right| left.record.endpoint.cmp(&right.record.endpoint));
        self.is_updated = true;
        self.assign_tiers(own);
    }

    /// Chooses an endpoint for the call of `demand` that is not in `tried`: of the drawn,
    /// healthy and reachable ones whose rate limit allows a call of its priority, the one with the
    /// lowest expected cost in time and bytes.
    ///
    /// Observed failures alone never leave a service without endpoints: health is ignored if the
    /// share of healthy endpoints is below `panic_threshold` or no healthy one is left, and
    /// unreachable endpoints are chosen if no other is left. Calls with large responses stay in the
    /// node's region while it has a healthy endpoint.
    pub(super) fn choose_from(
        &self,
        draw: Draw,
        now: Timestamp,
        rng: &mut impl Rng,
        tried: &[id::Endpoint],
        panic_threshold: Permille,
        demand: Demand<'_>,
    ) -> Option<&Record> {
        let counts_failures = !self.is_panicking(now, panic_threshold);
        let eligible = |accepts: &dyn Fn(&Endpoint) -> bool| {
            self.eligible(tried, |endpoint| {
                self.split.admits(draw, &endpoint.record)
                    && endpoint.limited_for(now, demand.priority).is_none()
                    && accepts(endpoint)
            })
        };
        let mut tiers = eligible(&|endpoint| {
            endpoint.is_reachable(now) && (!counts_failures || endpoint.is_healthy(now))
        });
        if tiers.iter().all(SmallVec::is_empty) {
            tiers = eligible(&|endpoint| endpoint.is_reachable(now));
        }
        if tiers.iter().all(SmallVec::is_empty) {
            tiers = eligible(&|_| true);
        }
        let profile = self
            .profiles
            .get(demand.policy)
            .copied()
            .unwrap_or_default();
        if profile.bytes >= LOCAL_RESPONSE_BYTES_MIN
            && self.has_usable_endpoint_in_region(now, draw)
        {
            tiers[TIERS - 1].clear();
        }
        let comparison = Comparison {
            now,
            profile,
            target: demand.target,
            utilization: self.utilization.of_all(now),
            counts_failures,
        };
        let candidates = tiers.iter().enumerate().flat_map(|(tier, endpoints)| {
            let sampled = sample(endpoints, rng);
            sampled.into_iter().map(move |endpoint| (tier, endpoint))
        });
        let chosen = candidates.min_by_key(|(tier, endpoint)| comparison.cost(*tier, endpoint));
        chosen.map(|(_, endpoint)| &endpoint.record)
    }

    /// Records a response to a call under `policy` at the endpoint `id`. `work_time` is how long
    /// the backend server took for the response, including the transfer of a buffered response.
    pub fn record_response(
        &mut self,
        now: Timestamp,
        id: &id::Endpoint,
        policy: &id::Policy,
        work_time: Span,
        size: Bytes,
    ) {
        let (work_time, size) = (work_time.min(WORK_MAX), size.min(RESPONSE_MAX));
        let work_us = work_time.get().max(1) * 1_000;
        let first = Profile {
            work_us,
            bytes: size.get(),
        };
        let profile = self.profiles.entry(policy.clone()).or_insert(first);
        let average_us = profile.work_us.max(1);
        profile.work_us = smooth(profile.work_us, work_us);
        profile.bytes = smooth(profile.bytes, size.get());
        if let Some(endpoint) = self.find(id) {
            // The pace passes, while the speed of the endpoint remains.
            let usual_us = work_us * AVERAGE_RELATIVE_WORK / endpoint.pace(now);
            let relative_work = (usual_us * AVERAGE_RELATIVE_WORK / average_us)
                .clamp(*RELATIVE_WORK_RANGE.start(), *RELATIVE_WORK_RANGE.end());
            endpoint.relative_work.record(now, relative_work);
        }
    }

    /// Records that the rate limit of the endpoint `id` refused a call of `priority`, and allows one
    /// after `wait`.
    pub fn record_limited(
        &mut self,
        now: Timestamp,
        id: &id::Endpoint,
        wait: Span,
        priority: Priority,
    ) {
        if let Some(endpoint) = self.find(id) {
            endpoint.record_limited(now, wait, priority);
        }
    }

    /// Returns whether the rate limit of an endpoint refuses calls of `priority`.
    pub fn is_limited(&self, now: Timestamp, priority: Priority) -> bool {
        let mut endpoints = self.endpoints.iter();
        endpoints.any(|endpoint| endpoint.limited_for(now, priority).is_some())
    }

    /// Returns the rate of calls that all endpoints together take, if each of them names a limit.
    pub fn total_limit(&self) -> Option<CallRate> {
        let limits = self.endpoints.iter().map(|endpoint| endpoint.record.limit);
        let total: u64 = limits
            .map(|limit| limit.map(CallRate::milli))
            .sum::<Option<u64>>()?;
        Some(CallRate::from_milli(total))
    }

    /// Returns whether a reachable endpoint that is not in `tried` is reliable, that is, has a
    /// failure rate below `RELIABLE_FAILURE_PERMILLE_MAX`.
    pub fn has_reliable_endpoint(&self, now: Timestamp, tried: &[id::Endpoint]) -> bool {
        self.endpoints.iter().any(|endpoint| {
            let is_reliable = endpoint.failure_rate.get(now) < RELIABLE_FAILURE_PERMILLE_MAX;
            is_reliable && endpoint.is_reachable(now) && !tried.contains(&endpoint.record.endpoint)
        })
    }

    /// Returns whether the endpoint `id`, which is in another region, is expected to have a free
    /// slot.
    pub fn expects_room(&self, now: Timestamp, id: &id::Endpoint) -> bool {
        let utilization = self.utilization.of_other_regions(now);
        self.position(id)
            .is_some_and(|index| self.endpoints[index].expects_room(now, utilization))
    }

    /// Returns the average work time of a call under `policy`, if there are samples.
    pub fn average_work(&self, policy: &id::Policy) -> Option<Span> {
        let profile = self.profiles.get(policy)?;
        Some(Span::new(profile.work_us / 1_000))
    }

    /// Counts a call that this node sends to the endpoint `id` as in flight.
    pub fn start_call(&mut self, id: &id::Endpoint) {
        if let Some(endpoint) = self.find(id) {
            endpoint.own_in_flight += 1;
        }
    }

    /// Counts a call of this node to the endpoint `id` as ended.
    pub fn end_call(&mut self, id: &id::Endpoint) {
        if let Some(endpoint) = self.find(id) {
            endpoint.own_in_flight = endpoint.own_in_flight.saturating_sub(1);
        }
    }

    /// Records the result of an attempt at the endpoint `id`, and the load that the endpoint's node
    /// reported with the response.
    pub fn record_outcome(
        &mut self,
        now: Timestamp,
        id: &id::Endpoint,
        signal: Signal,
        load: Option<Load>,
    ) {
        let Some(index) = self.position(id) else {
            return;
        };
        if let Some(load) = load {
            self.utilization.record(now, self.tier(index), load);
        }
        let endpoint = &mut self.endpoints[index];
        if let Some(load) = load {
            let own_in_flight = endpoint.own_in_flight;
            endpoint.report = Some(Report {
                at: now,
                load,
                own_in_flight,
            });
            endpoint.unreachable = 0;
        }
        match signal {
            Signal::Success => {
                endpoint.failures = 0;
                endpoint.ejections = 0;
                endpoint.failure_rate.record(now, 0);
            }
            Signal::Failure => endpoint.record_failure(now),
            Signal::Unreachable => endpoint.record_unreachable(now),
            Signal::Neutral => {}
        }
    }

    /// Returns whether no call of this node is in flight to any of the endpoints.
    pub fn is_idle(&self) -> bool {
        self.endpoints
            .iter()
            .all(|endpoint| endpoint.own_in_flight == 0)
    }

    fn assign_tiers(&mut self, own: &Locality) {
        self.tiers = Default::default();
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            self.tiers[tier_of(&endpoint.record, own)].push(index);
        }
    }

    /// Returns the eligible endpoints by tier, nearest first.
    fn eligible(
        &self,
        tried: &[id::Endpoint],
        accepts: impl Fn(&Endpoint) -> bool,
    ) -> [Tier<'_>; TIERS] {
        self.tiers.each_ref().map(|tier| {
            tier.iter()
                .map(|&index| &self.endpoints[index])
                .filter(|endpoint| !tried.contains(&endpoint.record.endpoint) && accepts(endpoint))
                .collect()
        })
    }

    /// Returns whether a drawn endpoint in the node's region is reachable and healthy, whatever its
    /// load. Endpoints that the call has tried already count as well.
    fn has_usable_endpoint_in_region(&self, now: Timestamp, draw: Draw) -> bool {
        let own_region = self.tiers[..TIERS - 1].iter().flatten();
        own_region
            .map(|&index| &self.endpoints[index])
            .filter(|endpoint| self.split.admits(draw, &endpoint.record))
            .any(|endpoint| endpoint.is_reachable(now) && endpoint.is_healthy(now))
    }

    fn is_panicking(&self, now: Timestamp, threshold: Permille) -> bool {
        let healthy = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.is_healthy(now));
        // Cross-multiplied, because rounding the share of a small set would give too small a
        // number.
        healthy.count() * 1_000 < self.endpoints.len() * usize::from(threshold.get())
    }

    fn find(&mut self, id: &id::Endpoint) -> Option<&mut Endpoint> {
        let index = self.position(id)?;
        self.endpoints.get_mut(index)
    }

    /// Returns the locality tier of the endpoint at `index`.
    fn tier(&self, index: usize) -> usize {
        let is_member = |tier: &SmallVec<[usize; 8]>| tier.binary_search(&index).is_ok();
        self.tiers.iter().position(is_member).unwrap_or(TIERS - 1)
    }

    fn position(&self, id: &id::Endpoint) -> Option<usize> {
        self.endpoints
            .binary_search_by(|endpoint| endpoint.record.endpoint.cmp(id))
            .ok()
    }
}

/// Returns the tier of an endpoint as seen from `own`: the node itself, its failure domain, its
/// region, or another region.
fn tier_of(record: &Record, own: &Locality) -> usize {
    if record.node == own.node {
        0
    } else if record.domain == own.domain {
        1
    } else if record.region == own.region {
        2
    } else {
        3
    }
}

/// Returns up to [`SAMPLE_SIZE`] endpoints, chosen at random if there are more.
fn sample<'m>(
    endpoints: &[&'m Endpoint],
    rng: &mut impl Rng,
) -> SmallVec<[&'m Endpoint; SAMPLE_SIZE]> {
    if endpoints.len() <= SAMPLE_SIZE {
        return endpoints.iter().copied().collect();
    }
    let mut indices: SmallVec<[usize; SAMPLE_SIZE]> = SmallVec::new();
    while indices.len() < SAMPLE_SIZE {
        let index = rng.random_range(0..endpoints.len());
        if !indices.contains(&index) {
            indices.push(index);
        }
    }
    indices.into_iter().map(|index| endpoints[index]).collect()
}
