//! Calls to a service that a fleet splits between its releases.

use std::collections::BTreeMap;

use cicadagw_gossip::Event;
use cicadagw_rollout::{Directive, Report, Split, Tally};
use cicadagw_unit::time::Span;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{Fleet, TICK};

/// The time between two reports of a node.
const REPORT_INTERVAL: Span = Span::new(500);

/// How a release behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    Good,
    /// It fails four of ten calls from a time on.
    BadAfter(Span),
}

/// The calls to the service `orders` from all nodes.
pub struct Load {
    /// Calls a second.
    pub rate: u64,
    /// The releases that are bad.
    pub behaviour: BTreeMap<String, Behaviour>,
    /// The calls since the start, and those that each release got.
    pub reached: u64,
    pub by_release: BTreeMap<String, u64>,
    /// How many calls each release got in the last tick.
    pub last: BTreeMap<String, u64>,
    tallies: BTreeMap<String, (u64, Tally)>,
    started: cicadagw_unit::time::Timestamp,
    rng: StdRng,
}

impl Load {
    pub fn new(fleet: &Fleet, rate: u64) -> Self {
        Self {
            rate,
            behaviour: BTreeMap::new(),
            reached: 0,
            by_release: BTreeMap::new(),
            last: BTreeMap::new(),
            tallies: BTreeMap::new(),
            started: fleet.now,
            rng: StdRng::seed_from_u64(11),
        }
    }

    /// Returns how many calls a release got.
    pub fn exposed(&self, release: &str) -> u64 {
        self.by_release.get(release).copied().unwrap_or_default()
    }

    /// Returns how many of the calls so far a bad release may have got.
    pub fn allowance(&self) -> u64 {
        self.reached / 10 + 50
    }

    /// Runs the fleet under load for `span`, or until `is_over`.
    pub fn run(&mut self, fleet: &mut Fleet, span: Span, is_over: impl Fn(&Fleet) -> bool) {
        let end = fleet.now.after(span);
        while fleet.now < end && !is_over(fleet) {
            fleet.run(TICK);
            self.call(fleet);
            if fleet.now.get().is_multiple_of(REPORT_INTERVAL.get()) {
                self.report(fleet);
            }
        }
    }

    fn call(&mut self, fleet: &Fleet) {
        self.last.clear();
        for _ in 0..self.rate * TICK.get() / 1_000 {
            let caller = self.rng.random_range(0..fleet.nodes.len());
            if fleet.isolated.contains(&caller) || fleet.frozen.contains(&caller) {
                continue;
            }
            let view = &fleet.nodes[caller].view;
            let service = "orders".parse().unwrap();
            let Some(records) = view.endpoints.get(&service) else {
                continue;
            };
            let rollout = view.rollouts.get(&service).cloned();
            let split = Split::new(rollout, records.iter());
            let draw = split.draw(&mut self.rng, false);
            let admitted: Vec<_> = records
                .iter()
                .filter(|record| split.admits(draw, record))
                .collect();
            if admitted.is_empty() {
                continue;
            }
            let record = admitted[self.rng.random_range(0..admitted.len())];
            let release = record
                .release
                .as_ref()
                .map_or("", |release| release.as_str());
            self.reached += 1;
            *self.by_release.entry(release.to_owned()).or_default() += 1;
            *self.last.entry(release.to_owned()).or_default() += 1;
            let behaviour = self.behaviour.get(release).copied();
            let is_failed = match behaviour.unwrap_or(Behaviour::Good) {
                Behaviour::Good => false,
                Behaviour::BadAfter(age) => {
                    fleet.now.since(self.started) >= age && self.rng.random_range(0..10) < 4
                }
            };
            let (_, tally) = self.tallies.entry(record.node.to_string()).or_default();
            tally.send();
            if is_failed {
                tally.fail();
            } else {
                tally.answer(Some(Span::new(200)));
            }
        }
    }

    fn report(&mut self, fleet: &mut Fleet) {
        for index in 0..fleet.nodes.len() {
            if fleet.frozen.contains(&index) {
                continue;
            }
            let node = &fleet.nodes[index];
            let service = "orders".parse().unwrap();
            let rollout = node.view.rollouts.get(&service);
            let Some(rollout) = rollout.filter(|rollout| rollout.is_running()) else {
                continue;
            };
            let name = format!("node-{index:04}");
            let member = node.core.table().get(&name.parse().unwrap());
            let backend = member.and_then(|member| member.backend.clone());
            let (Some(backend), Some(status)) = (backend, &rollout.status) else {
                continue;
            };
            if status.leader.is_none() {
                continue;
            }
            let (started_ms, tally) = self.tallies.entry(name).or_default();
            if *started_ms != status.started_ms {
                *started_ms = status.started_ms;
                *tally = Tally::default();
            }
            let report = Report {
                in_flight: 0,
                policies: std::iter::once(("read".parse().unwrap(), *tally)).collect(),
                refuses: refuses(rollout, &backend),
                release: backend.release,
                endpoint: backend.endpoint,
                service,
                started_ms: *started_ms,
                total: *tally,
            };
            fleet.step(index, Event::Report(Box::new(report)));
        }
    }
}

fn refuses(rollout: &Directive, backend: &cicadagw_gossip::Backend) -> bool {
    rollout.refuses(backend.release.as_ref(), backend.started_ms)
}
