//! A service under load whose calls are split as the leader decides.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses its own part of the fixtures"
)]

use std::collections::VecDeque;

use cicadagw_endpoint::{Record, State};
use cicadagw_rollout::{Leader, Order, Phase, Report, Status, Tally};
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Sequence, id};

/// The time between two steps.
pub const TICK: Span = Span::new(100);

/// The wall clock at the origin of the timestamps, in milliseconds since the Unix epoch.
pub const UNIX_MS: u64 = 1_800_000_000_000;

/// How long a decision takes to reach all nodes.
const PROPAGATION: Span = Span::new(300);

/// The time between two reports of a node.
const REPORT_INTERVAL: Span = Span::new(500);

/// The policies and their share of the calls, in thousandths.
const POLICIES: [(&str, u64); 2] = [("read", 880), ("download", 120)];

/// How the target release behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    Good,
    /// It fails a share of the calls, in thousandths, from an age on.
    FailsFrom(Span, u64),
    /// It fails a third of the calls while a backend server gets more than a number of calls a second.
    FailsAbove(u64),
    /// It fails half of the calls of the second policy.
    FailsOneRoute,
    /// It takes several times as long from an age on.
    SlowFrom(Span, u64),
}

/// A service under load.
pub struct Service {
    pub now: Timestamp,
    pub leader: Leader,
    pub records: Vec<Record>,
    /// Calls a second.
    pub rate: u64,
    pub behaviour: Behaviour,
    /// When the backend servers of the target release accept calls.
    pub target_from: Span,
    /// Until when they are cold.
    pub cold_until: Span,
    /// Which backend servers answer nothing but failures.
    pub faulty: Option<usize>,
    pub reached: u64,
    pub exposed: u64,
    pub bad: u64,
    /// When the fiftieth bad answer was given, and when the last call was sent to the target.
    pub fiftieth_bad_at: Option<Timestamp>,
    pub last_exposed_at: Timestamp,
    /// The status as the nodes know it, with the time at which each reaches them.
    in_force: VecDeque<(Timestamp, Status)>,
    targets: Vec<Tallies>,
    bases: Vec<Tallies>,
    carry: u64,
}

#[derive(Clone, Default)]
struct Tallies {
    total: Tally,
    policies: [Tally; 2],
}

pub fn order(duration: Span) -> Order {
    Order {
        duration,
        service: "orders".parse().unwrap(),
        target: "v2".parse().unwrap(),
    }
}

pub fn record(endpoint: &str, release: &str) -> Record {
    let address = "127.0.0.1:1".parse().unwrap();
    Record {
        address,
        domain: "kochi-a".parse().unwrap(),
        endpoint: endpoint.parse().unwrap(),
        limit: None,
        link: address,
        node: "n-1".parse().unwrap(),
        rack: "rack-1".parse().unwrap(),
        region: "kochi".parse().unwrap(),
        release: Some(release.parse().unwrap()),
        sequence: Sequence::new(1),
        service: "orders".parse().unwrap(),
        slots: Slots::new(9),
        started_ms: UNIX_MS,
        state: State::Ready,
    }
}

pub fn leader(now: Timestamp, duration: Span, status: Option<Status>) -> Leader {
    let order = order(duration);
    let status = status.unwrap_or_else(|| Status::noticed(&order, None));
    let node: id::Node = "n-1".parse().unwrap();
    Leader::new(now, UNIX_MS + now.get(), &node, order, status)
}

impl Service {
    pub fn new(duration: Span, (bases, targets): (usize, usize), behaviour: Behaviour) -> Self {
        let now = Timestamp::new(10_000);
        let bases: Vec<_> = vec![Tallies::default(); bases];
        Self {
            now,
            leader: leader(now, duration, None),
            records: Vec::new(),
            rate: 336,
            behaviour,
            target_from: Span::seconds(1),
            cold_until: Span::new(0),
            faulty: None,
            reached: 0,
            exposed: 0,
            bad: 0,
            fiftieth_bad_at: None,
            last_exposed_at: now,
            in_force: VecDeque::new(),
            targets: vec![Tallies::default(); targets],
            bases,
            carry: 0,
        }
    }

    /// Runs until the rollout has ended or `age` is over; returns the phase.
    pub fn run_until(&mut self, age: Span) -> Phase {
        let end = Timestamp::new(10_000).after(age);
        while self.now < end && self.leader.status().is_running() {
            self.tick();
        }
        self.leader.status().phase
    }

    /// Continues the load after the rollout has ended, until `age`.
    pub fn run_on(&mut self, age: Span) {
        let end = Timestamp::new(10_000).after(age);
        while self.now < end {
            self.tick();
        }
    }

    pub fn age(&self) -> Span {
        self.now.since(Timestamp::new(10_000))
    }

    pub fn tick(&mut self) {
        self.now = self.now.after(TICK);
        self.records = self.records_now();
        while self.in_force.len() > 1 && self.in_force[1].0 <= self.now {
            self.in_force.pop_front();
        }
        self.load();
        if self.now.get().is_multiple_of(REPORT_INTERVAL.get()) {
            for report in self.reports() {
                self.leader.report(self.now, report);
            }
        }
        let unix_ms = UNIX_MS + self.now.get();
        if let Some(decision) = self.leader.decide(self.now, unix_ms, &self.records) {
            let at = self.now.after(PROPAGATION);
            self.in_force.push_back((at, decision.status));
        }
    }

    fn records_now(&self) -> Vec<Record> {
        let targets = if self.age() >= self.target_from {
            self.targets.len()
        } else {
            0
        };
        let bases = (0..self.bases.len()).map(|index| record(&format!("old-{index}"), "v1"));
        let targets = (0..targets).map(|index| record(&format!("new-{index}"), "v2"));
        bases.chain(targets).collect()
    }

    fn status(&self) -> Option<&Status> {
        let (at, status) = self.in_force.front()?;
        (*at <= self.now).then_some(status)
    }

    fn load(&mut self) {
        let share = self.status().map_or(0, |status| status.share.get());
        let has_target = self.age() >= self.target_from && !self.targets.is_empty();
        let share = if has_target { u64::from(share) } else { 0 };
        let calls = self.rate * TICK.get() / 1_000;
        let tested = (self.targets.len() * usize::try_from(share).unwrap()).div_ceil(1_000);
        let tested = tested.clamp(2.min(self.targets.len()), self.targets.len().max(1));
        for _ in 0..calls {
            self.reached += 1;
            self.carry += share;
            let policy = usize::from(self.reached * 7_919 % 1_000 >= POLICIES[0].1);
            if self.carry < 1_000 {
                let index = usize::try_from(self.reached).unwrap() % self.bases.len();
                self.bases[index].answer(policy, Some(Span::new(200)), false);
                continue;
            }
            self.carry -= 1_000;
            self.exposed += 1;
            self.last_exposed_at = self.now;
            let index = usize::try_from(self.exposed).unwrap() % tested;
            let load = self.rate * share / 1_000 / tested as u64;
            let (work, is_bad) = self.target_answer(policy, load);
            let is_failed = is_bad && work.get() == 200 || self.faulty == Some(index);
            self.bad += u64::from(is_bad);
            if self.bad == 50 && self.fiftieth_bad_at.is_none() {
                self.fiftieth_bad_at = Some(self.now);
            }
            let is_cold = self.age() < self.cold_until;
            let work = (!is_cold).then_some(work);
            self.targets[index].answer(policy, work, is_failed);
        }
    }

    /// Returns the work time of a call at the target release, and whether its answer is bad.
    fn target_answer(&self, policy: usize, load: u64) -> (Span, bool) {
        let usual = Span::new(200);
        // Spread evenly, and independent of the backend server that gets the call.
        let draw = self.exposed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        let is_turn = |permille: u64| draw % 1_000 < permille;
        match self.behaviour {
            Behaviour::FailsFrom(age, permille) => (usual, self.age() >= age && is_turn(permille)),
            Behaviour::FailsAbove(rate) => (usual, load > rate && is_turn(333)),
            Behaviour::FailsOneRoute => (usual, policy == 1 && is_turn(500)),
            Behaviour::SlowFrom(age, factor) if self.age() >= age => (usual.times(factor), true),
            Behaviour::Good | Behaviour::SlowFrom(..) => (usual, false),
        }
    }

    fn reports(&self) -> Vec<Report> {
        let status = self.status();
        let phase = status.map(|status| status.phase);
        let started_ms = self.leader.status().started_ms;
        let report = |name: &str, release: &str, index: usize, tallies: &Tallies| Report {
            endpoint: format!("{name}-{index}").parse().unwrap(),
            in_flight: 0,
            policies: POLICIES
                .iter()
                .zip(tallies.policies)
                .map(|((policy, _), tally)| (policy.parse().unwrap(), tally))
                .collect(),
            refuses: release == "v1" && phase == Some(Phase::Closing),
            release: Some(release.parse().unwrap()),
            service: "orders".parse().unwrap(),
            started_ms,
            total: tallies.total,
        };
        let bases = self.bases.iter().enumerate();
        let targets = self.targets.iter().enumerate();
        bases
            .map(|(index, tallies)| report("old", "v1", index, tallies))
            .chain(targets.map(|(index, tallies)| report("new", "v2", index, tallies)))
            .collect()
    }

    /// Returns how many of the calls so far a bad release may have got.
    pub fn allowance(&self) -> u64 {
        self.reached / 10 + 50
    }
}

impl Tallies {
    fn answer(&mut self, policy: usize, work: Option<Span>, is_failed: bool) {
        for tally in [&mut self.total, &mut self.policies[policy]] {
            tally.send();
            if is_failed {
                tally.fail();
            } else {
                tally.answer(work);
            }
        }
    }
}
