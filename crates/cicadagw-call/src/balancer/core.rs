//! The load balancer of one service.

use std::collections::BTreeMap;

use cicadagw_endpoint::Record;
use cicadagw_unit::id;
use cicadagw_unit::rate::Permille;
use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::{Span, Timestamp};
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use super::member::{AVERAGE_RELATIVE_WORK, Member, Profile, Report, TIERS, member_for};
use crate::Load;
use crate::average::smooth;

/// The response size in bytes from which calls stay in the own region if it has an endpoint: a few
/// larger responses fill the link between regions for everyone.
const CROSS_REGION_BYTES_MAX: u64 = 48 << 10;

/// The bounds of an endpoint's relative work time, in thousandths.
const RELATIVE_WORK_RANGE: std::ops::RangeInclusive<u64> = 100..=20_000;

/// The failure rate in thousandths below which an endpoint counts as reliable.
const RELIABLE_FAILURE_PERMILLE: u64 = 200;

/// How many endpoints of a tier are compared. They are sampled at random, so that nodes with the
/// same information do not all choose the same one.
const SAMPLE_SIZE: usize = 4;

/// The locality of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Locality {
    /// The failure domain.
    pub domain: id::Domain,
    /// The node itself.
    pub node: id::Node,
    /// The region.
    pub region: id::Region,
}

/// The result of an attempt with regard to the health of the endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// The endpoint responded.
    Success,
    /// The attempt failed, was lost on the way, or the response was a server error.
    Failure,
    /// No connection to the endpoint or its node could be established.
    Unreachable,
    /// The endpoint refused the call, or the caller disconnected; this says nothing about the
    /// endpoint's health.
    Neutral,
}

/// A load balancer over the endpoints of one service, with what this node has observed of each.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    /// Sorted by endpoint id.
    members: Vec<Member>,
    tiers: [SmallVec<[usize; 8]>; TIERS],
    is_initialized: bool,
    profiles: BTreeMap<id::Policy, Profile>,
}

/// The endpoints of one tier that are eligible for a call.
type Tier<'m> = SmallVec<[&'m Member; 8]>;

/// The state of an endpoint, for dumps.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Summary {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Calls of this node that are in flight to the endpoint.
    pub in_flight: u32,
    /// Consecutive failures.
    pub failures: u32,
    /// Whether the endpoint is ejected because of its failures.
    pub is_ejected: bool,
}

impl Balancer {
    /// Replaces the set of endpoints by those of `records`, which accept calls now. Observations of
    /// endpoints that stay are kept. Endpoints that are added after the first update start slowly.
    pub fn update(&mut self, now: Timestamp, here: &Locality, records: &[Record]) {
        let added = self.is_initialized.then_some(now);
        let mut known = std::mem::take(&mut self.members);
        self.members = records
            .iter()
            .map(|record| member_for(&mut known, record, added))
            .collect();
        self.members
            .sort_by(|left, right| left.record.endpoint.cmp(&right.record.endpoint));
        self.is_initialized = true;
        self.assign_tiers(here);
    }

    /// Chooses an endpoint for a call under `policy` that is not in `tried`: the one with the
    /// lowest expected cost in time and bytes.
    ///
    /// If the share of healthy endpoints is below `panic_threshold`, health is ignored, so failure
    /// reports alone never leave a service without endpoints.
    pub fn choose(
        &self,
        now: Timestamp,
        rng: &mut impl Rng,
        tried: &[id::Endpoint],
        panic_threshold: Permille,
        policy: &id::Policy,
    ) -> Option<&Record> {
        let counts_failures = !self.is_panicking(now, panic_threshold);
        let mut tiers = self.eligible(tried, |member| {
            member.is_reachable(now) && (!counts_failures || member.is_healthy(now))
        });
        if tiers.iter().all(SmallVec::is_empty) {
            tiers = self.eligible(tried, |member| member.is_reachable(now));
        }
        if tiers.iter().all(SmallVec::is_empty) {
            tiers = self.eligible(tried, |_| true);
        }
        let profile = self.profiles.get(policy).copied().unwrap_or_default();
        if profile.bytes >= CROSS_REGION_BYTES_MAX && self.has_own_region(now) {
            tiers[TIERS - 1].clear();
        }
        let candidates = tiers.iter().enumerate().flat_map(|(tier, members)| {
            let sampled = sample(members, rng);
            sampled.into_iter().map(move |member| (tier, member))
        });
        let chosen = candidates
            .min_by_key(|(tier, member)| member.cost(now, *tier, profile, counts_failures));
        chosen.map(|(_, member)| &member.record)
    }

    /// Records the work time and the response size of a call under `policy` at `endpoint`.
    pub fn record_response(
        &mut self,
        now: Timestamp,
        endpoint: &id::Endpoint,
        policy: &id::Policy,
        work: Span,
        size: Bytes,
    ) {
        let work_us = work.get().max(1) * 1_000;
        let first = Profile {
            work_us,
            bytes: size.get(),
        };
        let profile = self.profiles.entry(policy.clone()).or_insert(first);
        let typical = profile.work_us.max(1);
        profile.work_us = smooth(profile.work_us, work_us);
        profile.bytes = smooth(profile.bytes, size.get());
        if let Some(member) = self.find(endpoint) {
            let relative_work = (work_us * AVERAGE_RELATIVE_WORK / typical)
                .clamp(*RELATIVE_WORK_RANGE.start(), *RELATIVE_WORK_RANGE.end());
            member.relative_work.record(now, relative_work);
        }
    }

    /// Returns whether a reachable endpoint that is not in `tried` has a low failure rate.
    pub fn has_reliable(&self, now: Timestamp, tried: &[id::Endpoint]) -> bool {
        self.members.iter().any(|member| {
            let is_reliable = member.failure_rate.get(now) < RELIABLE_FAILURE_PERMILLE;
            is_reliable && member.is_reachable(now) && !tried.contains(&member.record.endpoint)
        })
    }

    /// Returns the average work time of a call under `policy`, if there are samples.
    pub fn typical_work(&self, policy: &id::Policy) -> Option<Span> {
        let profile = self.profiles.get(policy)?;
        Some(Span::new(profile.work_us / 1_000))
    }

    /// Counts a call that this node sends to `endpoint`.
    pub fn begin(&mut self, endpoint: &id::Endpoint) {
        if let Some(member) = self.find(endpoint) {
            member.own_in_flight += 1;
        }
    }

    /// Counts a call of this node to `endpoint` as ended.
    pub fn end(&mut self, endpoint: &id::Endpoint) {
        if let Some(member) = self.find(endpoint) {
            member.own_in_flight = member.own_in_flight.saturating_sub(1);
        }
    }

    /// Records the result of an attempt at `endpoint` and the load that it reported.
    pub fn record_outcome(
        &mut self,
        now: Timestamp,
        endpoint: &id::Endpoint,
        signal: Signal,
        load: Option<Load>,
    ) {
        let Some(member) = self.find(endpoint) else {
            return;
        };
        if let Some(load) = load {
            let own_in_flight = member.own_in_flight;
            member.report = Some(Report {
                at: now,
                load,
                own_in_flight,
            });
            member.unreachable = 0;
        }
        match signal {
            Signal::Success => {
                member.failures = 0;
                member.ejections = 0;
                member.failure_rate.record(now, 0);
            }
            Signal::Failure => member.record_failure(now),
            Signal::Unreachable => member.record_unreachable(now),
            Signal::Neutral => {}
        }
    }

    /// Returns whether no call of this node is in flight to any of the endpoints.
    pub fn is_idle(&self) -> bool {
        self.members.iter().all(|member| member.own_in_flight == 0)
    }

    /// Returns the state of each endpoint.
    pub fn summaries(&self, now: Timestamp) -> impl Iterator<Item = Summary> + '_ {
        self.members.iter().map(move |member| Summary {
            endpoint: member.record.endpoint.clone(),
            in_flight: member.own_in_flight,
            failures: member.failures,
            is_ejected: !member.is_healthy(now),
        })
    }

    fn assign_tiers(&mut self, here: &Locality) {
        self.tiers = Default::default();
        for (index, member) in self.members.iter().enumerate() {
            self.tiers[tier_of(&member.record, here)].push(index);
        }
    }

    /// Returns the eligible endpoints by tier, nearest first.
    fn eligible(
        &self,
        tried: &[id::Endpoint],
        accepts: impl Fn(&Member) -> bool,
    ) -> [Tier<'_>; TIERS] {
        self.tiers.each_ref().map(|tier| {
            tier.iter()
                .map(|&index| &self.members[index])
                .filter(|member| !tried.contains(&member.record.endpoint) && accepts(member))
                .collect()
        })
    }

    /// Returns whether an endpoint of the own region is reachable and healthy, whatever its load.
    fn has_own_region(&self, now: Timestamp) -> bool {
        let own_region = self.tiers[..TIERS - 1].iter().flatten();
        own_region
            .map(|&index| &self.members[index])
            .any(|member| member.is_reachable(now) && member.is_healthy(now))
    }

    fn is_panicking(&self, now: Timestamp, threshold: Permille) -> bool {
        let healthy = self.members.iter().filter(|member| member.is_healthy(now));
        // Cross-multiplied, because rounding the share of a small set would give too small a
        // number.
        healthy.count() * 1_000 < self.members.len() * usize::from(threshold.get())
    }

    fn find(&mut self, endpoint: &id::Endpoint) -> Option<&mut Member> {
        let index = self
            .members
            .binary_search_by(|member| member.record.endpoint.cmp(endpoint))
            .ok()?;
        self.members.get_mut(index)
    }
}

/// Returns the tier of an endpoint: own host, own failure domain, own region, other regions.
fn tier_of(record: &Record, here: &Locality) -> usize {
    if record.node == here.node {
        0
    } else if record.domain == here.domain {
        1
    } else if record.region == here.region {
        2
    } else {
        3
    }
}

/// Returns up to [`SAMPLE_SIZE`] members, chosen at random if there are more.
fn sample<'m>(members: &[&'m Member], rng: &mut impl Rng) -> SmallVec<[&'m Member; SAMPLE_SIZE]> {
    if members.len() <= SAMPLE_SIZE {
        return members.iter().copied().collect();
    }
    let mut indices: SmallVec<[usize; SAMPLE_SIZE]> = SmallVec::new();
    while indices.len() < SAMPLE_SIZE {
        let index = rng.random_range(0..members.len());
        if !indices.contains(&index) {
            indices.push(index);
        }
    }
    indices.into_iter().map(|index| members[index]).collect()
}
