//! Which endpoint a call goes to.

use cicadagw_endpoint::Record;
use cicadagw_unit::id;
use cicadagw_unit::rate::Permille;
use cicadagw_unit::time::{Moment, Span};
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::Load;

/// How long a reported load is believed.
const REPORT_AGE: Span = Span::new(1_000);

/// How long a new endpoint takes to get its whole share.
const SLOW_START: Span = Span::seconds(10);

/// The share that a new endpoint begins with, in thousandths.
const FIRST_WEIGHT: u64 = 100;

/// How many failures in a row put an endpoint out.
const FAILURES_MAX: u32 = 5;

/// How long an endpoint is put out for the first time.
const EJECTION: Span = Span::seconds(5);

/// How often the time for which an endpoint is put out grows.
const EJECTION_GROWTH_MAX: u64 = 6;

/// How many tiers of distance there are.
const TIERS: usize = 4;

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
    report: Option<(Moment, Load)>,
    failures: u32,
    ejections: u64,
    ejected_until: Moment,
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

    /// Chooses an endpoint that is none of `tried`.
    ///
    /// The nearest tier with room serves; of those with room in it, the less busy of two random ones
    /// is taken. Health is not looked at when too few look healthy, so reports alone never empty a
    /// set.
    pub fn choose(
        &self,
        now: Moment,
        rng: &mut impl Rng,
        tried: &[id::Endpoint],
        panic_threshold: Permille,
    ) -> Option<&Record> {
        let mut tiers = self.usable(now, tried, !self.panics(now, panic_threshold));
        if tiers.iter().all(SmallVec::is_empty) {
            tiers = self.usable(now, tried, false);
        }
        let with_room = tiers
            .iter()
            .map(|tier| with_room(tier, now))
            .find(|tier| !tier.is_empty());
        let chosen = match with_room {
            Some(tier) => less_busy(&tier, now, rng),
            None => less_busy(&tiers.concat(), now, rng),
        };
        chosen.map(|member| &member.record)
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
            member.report = Some((now, load));
        }
        match signal {
            Signal::Success => {
                member.failures = 0;
                member.ejections = 0;
            }
            Signal::Failure => member.fail(now),
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
    fn usable(&self, now: Moment, tried: &[id::Endpoint], healthy_only: bool) -> [Tier<'_>; TIERS] {
        self.tiers.each_ref().map(|tier| {
            tier.iter()
                .map(|&index| &self.members[index])
                .filter(|member| !tried.contains(&member.record.endpoint))
                .filter(|member| !healthy_only || member.is_healthy(now))
                .collect()
        })
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

impl Member {
    fn is_healthy(&self, now: Moment) -> bool {
        self.ejected_until <= now
    }

    fn fail(&mut self, now: Moment) {
        self.failures += 1;
        if self.failures < FAILURES_MAX || !self.is_healthy(now) {
            return;
        }
        self.ejections = (self.ejections + 1).min(EJECTION_GROWTH_MAX);
        self.ejected_until = now.after(EJECTION.times(self.ejections));
        // One more failure after its return is enough.
        self.failures = FAILURES_MAX - 1;
    }

    /// Returns how many calls it runs, as far as is known: the more of what was reported and what
    /// this node itself sends.
    fn load(&self, now: Moment) -> u64 {
        let reported = self
            .report
            .filter(|(at, _)| now.since(*at) < REPORT_AGE)
            .map_or(0, |(_, load)| load.in_flight.get());
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

    /// Tells whether it would be less busy than `other` with one more call.
    fn is_less_busy(&self, other: &Self, now: Moment) -> bool {
        let own = (self.load(now) + 1) * other.capacity(now);
        let others = (other.load(now) + 1) * self.capacity(now);
        own < others
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
    });
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

fn with_room<'m>(members: &[&'m Member], now: Moment) -> Tier<'m> {
    let has_room = |member: &&Member| member.load(now) * 1_000 < member.capacity(now);
    members.iter().copied().filter(has_room).collect()
}

/// Returns the less busy of two random members.
fn less_busy<'m>(members: &[&'m Member], now: Moment, rng: &mut impl Rng) -> Option<&'m Member> {
    match members {
        [] => None,
        [only] => Some(only),
        _ => {
            let first = rng.random_range(0..members.len());
            let other = rng.random_range(0..members.len() - 1);
            let second = if other >= first { other + 1 } else { other };
            let (first, second) = (members[first], members[second]);
            Some(if second.is_less_busy(first, now) {
                second
            } else {
                first
            })
        }
    }
}
