//! Nodes with their shares and ledgers of one quota, joined by an in-memory network.

use std::collections::{BTreeMap, BTreeSet};

use cicadagw_call::quota::{Asker, Decision, Grant, Ledger, Request, Shares, Terms};
use cicadagw_config::account::Quota;
use cicadagw_unit::id;
use cicadagw_unit::rate::{Burst, CallRate};
use cicadagw_unit::time::Timestamp;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The number of failure domains, each of which has a part of the quota.
const DOMAINS: usize = 4;

/// The window over which calls are counted, in milliseconds.
const WINDOW_MS: u64 = 5_000;

/// The time that a restarted node needs to be known to the others again, in milliseconds.
const RESTART_MS: u64 = 500;

/// The delay between nodes of one failure domain and of different ones, in milliseconds.
const DELAYS_MS: [u64; 2] = [1, 30];

pub fn quota(rate: u64, burst: u32) -> Quota {
    Quota {
        burst: Burst::new(burst),
        rate: CallRate::from_milli(rate * 1_000),
    }
}

pub fn account() -> id::Account {
    "club".parse().unwrap()
}

struct Node {
    ledger: Ledger,
    shares: Shares,
    /// When the process started; a node is down until then.
    start_ms: u64,
    /// When the waiting calls arrived.
    waiting: Vec<u64>,
}

enum Message {
    Ask(Asker, Request),
    Grant(Grant),
}

/// The nodes and the network. The first node of each failure domain owns the domain's part.
pub struct Network {
    pub now: u64,
    /// When each call arrived, and whether it got a token.
    pub calls: Vec<(u64, bool)>,
    pub loss_permille: u64,
    /// Nodes that neither send nor receive.
    pub cut: BTreeSet<usize>,
    pub quota: Quota,
    in_flight: BTreeMap<(u64, u64), (usize, usize, Message)>,
    nodes: Vec<Node>,
    rng: StdRng,
    sent: u64,
}

impl Network {
    /// Creates a network of nodes that have run for a while.
    pub fn new(nodes: usize, quota: Quota, seed: u64) -> Self {
        Self {
            now: 60_000,
            calls: Vec::new(),
            loss_permille: 0,
            cut: BTreeSet::new(),
            quota,
            in_flight: BTreeMap::new(),
            nodes: (0..nodes).map(|_| node(0)).collect(),
            rng: StdRng::seed_from_u64(seed),
            sent: 0,
        }
    }

    pub fn random(&mut self, end: u64) -> u64 {
        self.rng.random_range(0..end.max(1))
    }

    /// Kills a node, which starts again after a time and has then forgotten everything.
    pub fn kill(&mut self, index: usize, for_ms: u64) {
        self.nodes[index] = node(self.now + for_ms);
    }

    /// Runs for `ms` milliseconds with `per_second` calls on average, each at a random one of `nodes`.
    pub fn run(&mut self, ms: u64, per_second: u64, nodes: std::ops::Range<usize>) {
        for _ in 0..ms {
            self.now += 1;
            while let Some(entry) = self.in_flight.first_entry()
                && entry.key().0 <= self.now
            {
                let (from, to, message) = entry.remove();
                self.receive(from, to, message);
            }
            (0..self.nodes.len()).for_each(|index| self.decide_again(index));
            // Ten chances each millisecond, so that rates up to 10,000 calls a second are possible.
            for _ in 0..10 {
                if self.random(10_000) < per_second {
                    let index = self.random(nodes.len() as u64);
                    self.arrive(nodes.start + usize::try_from(index).unwrap());
                }
            }
        }
    }

    /// Returns the largest number of calls with a token that arrived in a window.
    pub fn most_in_window(&self) -> usize {
        let taken = self.calls.iter().filter(|(_, is_taken)| *is_taken);
        let mut times: Vec<_> = taken.map(|(time, _)| *time).collect();
        times.sort_unstable();
        let counts = times
            .iter()
            .enumerate()
            .map(|(first, start)| times.partition_point(|time| *time < start + WINDOW_MS) - first);
        counts.max().unwrap_or(0)
    }

    /// Returns how many calls were refused that a single token bucket for all nodes would have let
    /// through.
    pub fn refused_below_quota(&self) -> usize {
        let mut calls = self.calls.clone();
        calls.sort_unstable();
        let full = u64::from(self.quota.burst.get()) * 1_000_000;
        let (mut level, mut updated, mut count) = (full, 0, 0);
        for (time, is_taken) in calls {
            level = (level + (time - updated) * self.quota.rate.milli()).min(full);
            updated = time;
            if level >= 1_000_000 {
                level -= 1_000_000;
                count += usize::from(!is_taken);
            }
        }
        count
    }

    pub fn taken(&self) -> usize {
        self.calls.iter().filter(|(_, is_taken)| *is_taken).count()
    }

    fn arrive(&mut self, index: usize) {
        if self.now < self.nodes[index].start_ms {
            return;
        }
        let (now, parts) = (Timestamp::new(self.now), u16::try_from(DOMAINS).unwrap());
        let shares = &mut self.nodes[index].shares;
        let decision = shares.arrive(now, &account(), parts, false);
        self.settle(index, self.now, decision);
    }

    /// Decides about the waiting calls of a node again.
    fn decide_again(&mut self, index: usize) {
        let now = Timestamp::new(self.now);
        for arrived in std::mem::take(&mut self.nodes[index].waiting) {
            let shares = &mut self.nodes[index].shares;
            let decision = shares.wait(now, &account(), Timestamp::new(arrived));
            self.settle(index, arrived, decision);
        }
    }

    /// Records the decision about a call, and sends the requests that are due.
    fn settle(&mut self, index: usize, arrived: u64, decision: Decision) {
        match decision {
            Decision::Wait => self.nodes[index].waiting.push(arrived),
            Decision::Taken(_) => self.calls.push((arrived, true)),
            Decision::Refused { .. } => self.calls.push((arrived, false)),
        }
        let (now, start_ms) = (Timestamp::new(self.now), self.nodes[index].start_ms);
        for request in self.nodes[index].shares.requests(now, &account()) {
            let domain = (self.domain(index) + usize::from(request.part)) % DOMAINS;
            let asker = Asker {
                node: format!("node-{index}").parse().unwrap(),
                start_ms,
            };
            let owner = domain * self.nodes.len() / DOMAINS;
            self.send(index, owner, Message::Ask(asker, request));
        }
    }

    fn domain(&self, index: usize) -> usize {
        index * DOMAINS / self.nodes.len()
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_lost = self.random(1_000) < self.loss_permille;
        let delay = DELAYS_MS[usize::from(self.domain(from) != self.domain(to))];
        let at = self.now + delay + self.random(2 * delay);
        self.sent += 1;
        if !is_lost {
            self.in_flight.insert((at, self.sent), (from, to, message));
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let is_cut = from != to && (self.cut.contains(&from) || self.cut.contains(&to));
        let start_ms = self.nodes[to].start_ms;
        if is_cut || self.now < start_ms {
            return;
        }
        let (now, node) = (Timestamp::new(self.now), &mut self.nodes[to]);
        match message {
            Message::Grant(grant) => node.shares.grant(now, &grant),
            Message::Ask(asker, request) if start_ms == 0 || self.now >= start_ms + RESTART_MS => {
                let terms = Terms {
                    parts: u16::try_from(DOMAINS).unwrap(),
                    quota: self.quota,
                    since: Timestamp::new(if start_ms == 0 {
                        0
                    } else {
                        start_ms + RESTART_MS
                    }),
                };
                if let Some(grant) = node.ledger.ask(now, terms, &asker, &request.ask) {
                    self.send(to, from, Message::Grant(grant));
                }
            }
            Message::Ask(..) => {}
        }
    }
}

fn node(start_ms: u64) -> Node {
    Node {
        ledger: Ledger::default(),
        shares: Shares::new(0),
        start_ms,
        waiting: Vec::new(),
    }
}

/// Returns the most calls that may run in a window: what the quota allows, a tenth more, and 20.
pub fn bound(quota: Quota) -> usize {
    let allowed = quota.rate.milli() * WINDOW_MS / 1_000_000 + u64::from(quota.burst.get());
    usize::try_from(allowed * 11 / 10 + 20).unwrap()
}
