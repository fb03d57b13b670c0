//! Which endpoint a call goes to.

use std::collections::BTreeMap;

use cicadagw_endpoint::Record;
use cicadagw_unit::id;
use cicadagw_unit::rate::Permille;
use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::{Moment, Span};
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::Load;

/// How long a reported load is believed.
const REPORT_AGE: Span = Span::new(1_000);

/// How long a new endpoint takes to get its whole share; backend servers are cold for about as long.
const SLOW_START: Span = Span::seconds(3);

/// The share that a new endpoint begins with, in thousandths.
const FIRST_WEIGHT: u64 = 100;

/// How many failures in a row put an endpoint out.
const FAILURES_MAX: u32 = 5;

/// How long an endpoint is put out for the first time.
const EJECTION: Span = Span::seconds(5);

/// How often the time for which an endpoint is put out grows.
const EJECTION_GROWTH_MAX: u64 = 6;

/// How long an endpoint that could not be reached is left alone for the first time.
const UNREACHABLE: Span = Span::new(500);

/// The longest time for which an endpoint that cannot be reached is left alone.
const UNREACHABLE_MAX: Span = Span::seconds(8);

/// How many tiers of distance there are: own host, own failure domain, own region, elsewhere.
const TIERS: usize = 4;

/// The time on the way to an endpoint of each tier and back, in microseconds: typical round trips
/// between hosts, failure domains and regions.
const ROUND_TRIP_US: [u64; TIERS] = [0, 500, 1_500, 62_000];

/// What a KiB of an answer costs on its way from each tier, expressed in microseconds of delay:
/// links between failure domains are billed, those between regions are billed four times as high.
const KIB_US: [u64; TIERS] = [0, 0, 2_500, 10_000];

/// How large answers may be that come from another region while the own one has an endpoint, in bytes:
/// a few larger ones fill the link between regions for everyone.
const FAR_BYTES_MAX: u64 = 48 << 10;

/// How much a full endpoint adds to a call by its load alone, in microseconds. It grows with the
/// square of the load, as backend servers slow down when they are nearly full.
const BUSY_US: u64 = 20_000;

/// What it costs to wait for a place at all, in microseconds: the estimate may be wrong.
const FULL_US: u64 = 100_000;

/// What a failure costs: as much as the retry that follows it, in microseconds.
const FAILURE_US: u64 = 500_000;

/// The work of a call of which nothing is known yet, in microseconds.
const WORK_US: u64 = 50_000;

/// The share of a new measurement in a running average: one in this many.
const SMOOTHING: u64 = 8;

/// The pace of an endpoint that is as fast as the others, in thousandths of their time.
const EVEN_PACE: u64 = 1_000;

/// The bounds of a pace.
const PACES: std::ops::RangeInclusive<u64> = 100..=20_000;

/// After which time half of the failures of an endpoint are forgotten, so that it is tried again.
const FAILURE_HALF_LIFE: Span = Span::seconds(1);

/// After which time half of what an endpoint was slower or faster than others is forgotten.
const PACE_HALF_LIFE: Span = Span::seconds(4);

/// The share of failures, in thousandths, below which an endpoint counts as sound.
const FAILING_SOUND: u64 = 200;

/// How many endpoints of a tier are compared: a random few, so that nodes with the same news do not
/// all take the same one.
const SAMPLE: usize = 4;

/// Where a node stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Place {
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
pub struct Set {
    /// In the order of the endpoint ids.
    members: Vec<Member>,
    tiers: [SmallVec<[usize; 8]>; TIERS],
    is_seeded: bool,
    kinds: BTreeMap<id::Policy, Kind>,
}

/// What the calls under one policy are like.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Kind {
    /// How long one takes at an endpoint of even pace, in microseconds.
    work_us: u64,
    /// How large its answer is, in bytes.
    bytes: u64,
}

/// The endpoints of one tier that may be chosen.
type Tier<'m> = SmallVec<[&'m Member; 8]>;

/// One endpoint and what this node saw of it.
#[derive(Clone, Debug)]
struct Member {
    record: Record,
    /// When it appeared; none for those that were there from the first.
    since: Option<Moment>,
    /// Calls of this node.
    own: u32,
    report: Option<Report>,
    failures: u32,
    ejections: u64,
    ejected_until: Moment,
    /// The share of calls that fail lately, in thousandths.
    failing: Fading,
    /// How long it takes for a call, in thousandths of what the others take.
    pace: Fading,
    /// How often in a row it could not be reached.
    unreachable: u64,
    unreachable_until: Moment,
}

/// A running average that returns to its base while nothing is measured.
#[derive(Clone, Copy, Debug)]
struct Fading {
    value: u64,
    base: u64,
    at: Moment,
    half_life: Span,
}

/// A reported load.
#[derive(Clone, Copy, Debug)]
struct Report {
    at: Moment,
    load: Load,
    /// The calls of this node then.
    own: u32,
}

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

impl Set {
    /// Takes in the records of the endpoints that take work now. What was seen of those that stay is
    /// kept; those that are new start slowly, but for the first ones.
    pub fn refresh(&mut self, now: Moment, here: &Place, records: &[Record]) {
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
        now: Moment,
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
    pub fn measure(
        &mut self,
        now: Moment,
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
    pub fn has_sound(&self, now: Moment, tried: &[id::Endpoint]) -> bool {
        self.members.iter().any(|member| {
            let is_sound = member.failing.get(now) < FAILING_SOUND;
            is_sound && member.is_reachable(now) && !tried.contains(&member.record.endpoint)
        })
    }

    /// Returns how long a call under `policy` takes, as far as is known.
    pub fn typical(&self, policy: &id::Policy) -> Option<Span> {
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
    pub fn learn(
        &mut self,
        now: Moment,
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
    pub fn summaries(&self, now: Moment) -> impl Iterator<Item = Summary> + '_ {
        self.members.iter().map(move |member| Summary {
            endpoint: member.record.endpoint.clone(),
            in_flight: member.own,
            failures: member.failures,
            is_ejected: !member.is_healthy(now),
        })
    }

    fn arrange(&mut self, here: &Place) {
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
    fn has_near(&self, now: Moment) -> bool {
        let near = self.tiers[..TIERS - 1].iter().flatten();
        near.map(|&index| &self.members[index])
            .any(|member| member.is_reachable(now) && member.is_healthy(now))
    }

    fn panics(&self, now: Moment, threshold: Permille) -> bool {
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

impl Default for Kind {
    fn default() -> Self {
        Self {
            work_us: WORK_US,
            bytes: 0,
        }
    }
}

impl Fading {
    const fn new(base: u64, half_life: Span) -> Self {
        Self {
            value: base,
            base,
            at: Moment::new(0),
            half_life,
        }
    }

    fn get(&self, now: Moment) -> u64 {
        let halvings = (now.since(self.at).get() / self.half_life.get()).min(63);
        if self.value >= self.base {
            self.base + ((self.value - self.base) >> halvings)
        } else {
            self.base - ((self.base - self.value) >> halvings)
        }
    }

    fn learn(&mut self, now: Moment, value: u64) {
        self.value = smooth(self.get(now), value);
        self.at = now;
    }
}

impl Member {
    fn is_healthy(&self, now: Moment) -> bool {
        self.ejected_until <= now
    }

    fn is_reachable(&self, now: Moment) -> bool {
        self.unreachable_until <= now
    }

    fn fail(&mut self, now: Moment) {
        self.failures += 1;
        self.failing.learn(now, 1_000);
        if self.failures < FAILURES_MAX || !self.is_healthy(now) {
            return;
        }
        self.ejections = (self.ejections + 1).min(EJECTION_GROWTH_MAX);
        self.ejected_until = now.after(EJECTION.times(self.ejections));
        // One more failure after its return is enough.
        self.failures = FAILURES_MAX - 1;
        self.failing = Fading::new(0, FAILURE_HALF_LIFE);
    }

    /// Leaves it alone for a time that doubles with every miss.
    fn miss(&mut self, now: Moment) {
        let wait = UNREACHABLE.times(1 << self.unreachable.min(8));
        self.unreachable += 1;
        self.unreachable_until = now.after(wait.min(UNREACHABLE_MAX));
    }

    /// Returns what a call of `kind` costs here, in microseconds of delay.
    ///
    /// Its failures count only where `is_wary`.
    fn cost(&self, now: Moment, tier: usize, kind: Kind, is_wary: bool) -> u64 {
        let work = kind.work_us * self.pace.get(now) / EVEN_PACE;
        let load = (self.load(now) + 1) * 1_000;
        let capacity = self.capacity(now).max(1);
        let busy = BUSY_US * load.min(capacity) / capacity * load.min(capacity) / capacity;
        let wait = match load.checked_sub(capacity) {
            None | Some(0) => 0,
            Some(excess) => FULL_US + work * excess / capacity,
        };
        let transfer = kind.bytes * KIB_US[tier] / 1_024;
        let failing = if is_wary { self.failing.get(now) } else { 0 };
        let failures = failing * FAILURE_US / 1_000;
        ROUND_TRIP_US[tier] + transfer + work + busy + wait + failures
    }

    /// Returns how many calls it runs, as far as is known: what was reported, with what this node
    /// sends since.
    fn load(&self, now: Moment) -> u64 {
        let reported = self
            .report
            .filter(|report| now.since(report.at) < REPORT_AGE)
            .map_or(0, |report| {
                let others = report.load.in_flight.get().saturating_sub(report.own);
                others.saturating_add(self.own)
            });
        u64::from(reported.max(self.own))
    }

    /// Returns how many calls it may run, in thousandths.
    fn capacity(&self, now: Moment) -> u64 {
        let weight = self.since.map_or(1_000, |since| {
            let age = now.since(since).get().min(SLOW_START.get());
            FIRST_WEIGHT + (1_000 - FIRST_WEIGHT) * age / SLOW_START.get()
        });
        u64::from(self.record.slots.get().max(1)) * weight
    }
}

fn renew(known: &mut [Member], record: &Record, since: Option<Moment>) -> Member {
    let kept = known
        .binary_search_by(|member| member.record.endpoint.cmp(&record.endpoint))
        .ok()
        .map(|index| known[index].clone());
    let mut member = kept.unwrap_or_else(|| Member {
        record: record.clone(),
        since,
        own: 0,
        report: None,
        failures: 0,
        ejections: 0,
        ejected_until: Moment::default(),
        failing: Fading::new(0, FAILURE_HALF_LIFE),
        pace: Fading::new(EVEN_PACE, PACE_HALF_LIFE),
        unreachable: 0,
        unreachable_until: Moment::default(),
    });
    if member.record.sequence != record.sequence {
        // Its node was heard of meanwhile.
        member.unreachable_until = Moment::default();
    }
    member.record = record.clone();
    member
}

/// Returns the tier of an endpoint: own host, own failure domain, own region, elsewhere.
fn distance(record: &Record, here: &Place) -> usize {
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

/// Returns the running average `old` with `new` taken in.
const fn smooth(old: u64, new: u64) -> u64 {
    (old * (SMOOTHING - 1) + new) / SMOOTHING
}
