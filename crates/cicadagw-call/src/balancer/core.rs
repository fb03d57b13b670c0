//! The endpoints of one service.

use std::collections::BTreeMap;

use cicadagw_endpoint::Record;
use cicadagw_unit::id;
use cicadagw_unit::rate::Permille;
use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::{Span, Timestamp};
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use super::member::{EVEN_PACE, Kind, Member, Report, TIERS, renew};
use crate::Load;
use crate::average::smooth;

/// How large answers may be that come from another region while the own one has an endpoint, in bytes:
/// a few larger ones fill the link between regions for everyone.
const FAR_BYTES_MAX: u64 = 48 << 10;

/// The bounds of a pace.
const PACES: std::ops::RangeInclusive<u64> = 100..=20_000;

/// The share of failures, in thousandths, below which an endpoint counts as sound.
const FAILING_SOUND: u64 = 200;

/// How many endpoints of a tier are compared: a random few, so that nodes with the same news do not
/// all take the same one.
const SAMPLE: usize = 4;

/// Where a node stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Locality {
    /// The failure domain.
    pub domain: id::Domain,
    /// The node itself.
    pub node: id::Node,
    /// The region.
    pub region: id::Region,
}

/// How an attempt at an endpoint ended, as far as its health goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// It answered.
    Success,
    /// It could not be reached, was lost on the way, or answered that it does not work.
    Failure,
    /// No connection could be made to it or its node.
    Unreachable,
    /// It refused, or the caller went away: nothing follows for its health.
    Neutral,
}

/// The endpoints of one service, and what this node saw of each.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    /// In the order of the endpoint ids.
    members: Vec<Member>,
    tiers: [SmallVec<[usize; 8]>; TIERS],
    is_seeded: bool,
    kinds: BTreeMap<id::Policy, Kind>,
}

/// The endpoints of one tier that may be chosen.
type Tier<'m> = SmallVec<[&'m Member; 8]>;

/// How an endpoint stands, for dumps.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Summary {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// The calls of this node that it serves now.
    pub in_flight: u32,
    /// Failures in a row.
    pub failures: u32,
    /// Whether it is put out for its failures.
    pub is_ejected: bool,
}

impl Balancer {
    /// Takes in the records of the endpoints that take work now. What was seen of those that stay is
    /// kept; those that are new start slowly, but for the first ones.
    pub fn update(&mut self, now: Timestamp, here: &Locality, records: &[Record]) {
        let since = self.is_seeded.then_some(now);
        let mut known = std::mem::take(&mut self.members);
        self.members = records
            .iter()
            .map(|record| renew(&mut known, record, since))
            .collect();
        self.members
            .sort_by(|left, right| left.record.endpoint.cmp(&right.record.endpoint));
        self.is_seeded = true;
        self.arrange(here);
    }

    /// Chooses an endpoint for a call under `policy` that is none of `tried`: the one from which the
    /// answer is expected at the least cost in time and bytes.
    ///
    /// Health is not looked at when too few look healthy, so reports alone never empty a set.
    pub fn choose(
        &self,
        now: Timestamp,
        rng: &mut impl Rng,
        tried: &[id::Endpoint],
        panic_threshold: Permille,
        policy: &id::Policy,
    ) -> Option<&Record> {
        let is_wary = !self.panics(now, panic_threshold);
        let mut tiers = self.usable(tried, |member| {
            member.is_reachable(now) && (!is_wary || member.is_healthy(now))
        });
        if tiers.iter().all(SmallVec::is_empty) {
            tiers = self.usable(tried, |member| member.is_reachable(now));
        }
        if tiers.iter().all(SmallVec::is_empty) {
            tiers = self.usable(tried, |_| true);
        }
        let kind = self.kinds.get(policy).copied().unwrap_or_default();
        if kind.bytes >= FAR_BYTES_MAX && self.has_near(now) {
            tiers[TIERS - 1].clear();
        }
        let candidates = tiers.iter().enumerate().flat_map(|(tier, members)| {
            let sampled = sample(members, rng);
            sampled.into_iter().map(move |member| (tier, member))
        });
        let chosen = candidates.min_by_key(|(tier, member)| member.cost(now, *tier, kind, is_wary));
        chosen.map(|(_, member)| &member.record)
    }

    /// Takes note of how long `endpoint` worked on a call under `policy`, and how large its answer was.
    pub fn record_response(
        &mut self,
        now: Timestamp,
        endpoint: &id::Endpoint,
        policy: &id::Policy,
        work: Span,
        size: Bytes,
    ) {
        let work_us = work.get().max(1) * 1_000;
        let first = Kind {
            work_us,
            bytes: size.get(),
        };
        let kind = self.kinds.entry(policy.clone()).or_insert(first);
        let typical = kind.work_us.max(1);
        kind.work_us = smooth(kind.work_us, work_us);
        kind.bytes = smooth(kind.bytes, size.get());
        if let Some(member) = self.find(endpoint) {
            let pace = (work_us * EVEN_PACE / typical).clamp(*PACES.start(), *PACES.end());
            member.pace.learn(now, pace);
        }
    }

    /// Tells whether there is an endpoint, none of `tried`, that seldom fails.
    pub fn has_reliable(&self, now: Timestamp, tried: &[id::Endpoint]) -> bool {
        self.members.iter().any(|member| {
            let is_sound = member.failing.get(now) < FAILING_SOUND;
            is_sound && member.is_reachable(now) && !tried.contains(&member.record.endpoint)
        })
    }

    /// Returns how long a call under `policy` takes, as far as is known.
    pub fn typical_work(&self, policy: &id::Policy) -> Option<Span> {
        let kind = self.kinds.get(policy)?;
        Some(Span::new(kind.work_us / 1_000))
    }

    /// Takes note that this node sends a call to `endpoint`.
    pub fn begin(&mut self, endpoint: &id::Endpoint) {
        if let Some(member) = self.find(endpoint) {
            member.own += 1;
        }
    }

    /// Takes note that a call of this node to `endpoint` is over.
    pub fn end(&mut self, endpoint: &id::Endpoint) {
        if let Some(member) = self.find(endpoint) {
            member.own = member.own.saturating_sub(1);
        }
    }

    /// Takes note of how an attempt at `endpoint` went, and of the load that it reported.
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
            let own = member.own;
            member.report = Some(Report { at: now, load, own });
            member.unreachable = 0;
        }
        match signal {
            Signal::Success => {
                member.failures = 0;
                member.ejections = 0;
                member.failing.learn(now, 0);
            }
            Signal::Failure => member.fail(now),
            Signal::Unreachable => member.miss(now),
            Signal::Neutral => {}
        }
    }

    /// Tells whether no call of this node is at any of the endpoints.
    pub fn is_idle(&self) -> bool {
        self.members.iter().all(|member| member.own == 0)
    }

    /// Returns how each endpoint stands.
    pub fn summaries(&self, now: Timestamp) -> impl Iterator<Item = Summary> + '_ {
        self.members.iter().map(move |member| Summary {
            endpoint: member.record.endpoint.clone(),
            in_flight: member.own,
            failures: member.failures,
            is_ejected: !member.is_healthy(now),
        })
    }

    fn arrange(&mut self, here: &Locality) {
        self.tiers = Default::default();
        for (index, member) in self.members.iter().enumerate() {
            self.tiers[distance(&member.record, here)].push(index);
        }
    }

    /// Returns the endpoints that may be chosen, nearest tier first.
    fn usable(
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

    /// Tells whether an endpoint of the own region can be reached, be it busy or not.
    fn has_near(&self, now: Timestamp) -> bool {
        let near = self.tiers[..TIERS - 1].iter().flatten();
        near.map(|&index| &self.members[index])
            .any(|member| member.is_reachable(now) && member.is_healthy(now))
    }

    fn panics(&self, now: Timestamp, threshold: Permille) -> bool {
        let healthy = self.members.iter().filter(|member| member.is_healthy(now));
        // Multiplied out, since a rounded share of a small set would be too few.
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

/// Returns the tier of an endpoint: own host, own failure domain, own region, elsewhere.
fn distance(record: &Record, here: &Locality) -> usize {
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

/// Returns a few members, in random order.
fn sample<'m>(members: &[&'m Member], rng: &mut impl Rng) -> SmallVec<[&'m Member; SAMPLE]> {
    if members.len() <= SAMPLE {
        return members.iter().copied().collect();
    }
    let mut indices: SmallVec<[usize; SAMPLE]> = SmallVec::new();
    while indices.len() < SAMPLE {
        let index = rng.random_range(0..members.len());
        if !indices.contains(&index) {
            indices.push(index);
        }
    }
    indices.into_iter().map(|index| members[index]).collect()
}
