//! Nodes with their shares and ledgers, joined by an in-memory network.

use std::collections::{BTreeMap, BTreeSet};

use cicadagw_call::quota::{Asker, Decision, Grant, Ledger, Request, Shares, Terms};
use cicadagw_config::account::Quota;
use cicadagw_unit::id;
use cicadagw_unit::rate::{Burst, CallRate};
use cicadagw_unit::time::Timestamp;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The window over which calls are counted, in milliseconds.
pub const WINDOW_MS: u64 = 5_000;

/// The time that a restarted node needs to be known to the others again, in milliseconds.
const RESTART_MS: u64 = 500;

/// The delay between nodes of one failure domain and of different ones, in milliseconds.
const DELAYS_MS: [u64; 2] = [1, 30];

/// How often a restarted process of a node may be told apart from the one before.
const STARTS: u64 = 1_000_000;

pub fn quota(rate: u64, burst: u32) -> Quota {
    Quota {
        burst: Burst::new(burst),
        rate: CallRate::from_milli(rate * 1_000),
    }
}

pub fn account(name: &str) -> id::Account {
    name.parse().unwrap()
}

struct Node {
    ledger: Ledger,
    shares: Shares,
    start_ms: u64,
    /// When the node is up again, if it is down.
    down_until: u64,
    waiting: Vec<(id::Account, u64)>,
}

enum Message {
    Ask(u16, Asker, Request),
    Grant(Grant),
}

/// What happened to the calls: when they arrived, by account.
#[derive(Default)]
pub struct Log {
    pub refused: BTreeMap<id::Account, Vec<u64>>,
    pub taken: BTreeMap<id::Account, Vec<u64>>,
    /// How long each call with a token has waited for it, in milliseconds.
    pub waits: Vec<u64>,
}

/// The nodes and the network; the first node of each failure domain owns the domain's part of every
/// quota.
pub struct Network {
    pub now: u64,
    pub log: Log,
    pub loss_permille: u32,
    /// Nodes that neither send nor receive.
    pub cut: BTreeSet<usize>,
    pub quotas: BTreeMap<id::Account, Quota>,
    /// The number of messages sent.
    pub messages: u64,
    domains: usize,
    in_flight: BTreeMap<(u64, u64), (usize, usize, Message)>,
    nodes: Vec<Node>,
    rng: StdRng,
}

impl Network {
    /// Creates a network of nodes that have run for a while.
    pub fn new(domains: usize, nodes_per_domain: usize, seed: u64) -> Self {
        let nodes = (0..domains * nodes_per_domain).map(|_| Node {
            ledger: Ledger::default(),
            shares: Shares::new(STARTS),
            start_ms: 0,
            down_until: 0,
            waiting: Vec::new(),
        });
        Self {
            now: 60_000,
            log: Log::default(),
            loss_permille: 0,
            cut: BTreeSet::new(),
            quotas: BTreeMap::new(),
            messages: 0,
            domains,
            in_flight: BTreeMap::new(),
            nodes: nodes.collect(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub fn random(&mut self, end: u64) -> u64 {
        self.rng.random_range(0..end.max(1))
    }

    /// Kills a node, which starts again after a time and has then forgotten everything.
    pub fn kill(&mut self, node: usize, for_ms: u64) {
        self.nodes[node] = Node {
            ledger: Ledger::default(),
            shares: Shares::new(self.now * STARTS),
            start_ms: self.now + for_ms,
            down_until: self.now + for_ms,
            waiting: Vec::new(),
        };
    }

    /// A call of `account` arrives at `node`.
    pub fn call(&mut self, node: usize, account: &id::Account) {
        if self.now < self.nodes[node].down_until {
            return;
        }
        let now = Timestamp::new(self.now);
        let parts = u16::try_from(self.domains).unwrap();
        let decision = self.nodes[node].shares.arrive(now, account, parts, false);
        self.settle(account, self.now, decision);
        if decision == Decision::Wait {
            let waiting = &mut self.nodes[node].waiting;
            waiting.push((account.clone(), self.now));
        }
        self.flush(node, account);
    }

    /// Advances the time by a millisecond.
    pub fn tick(&mut self) {
        self.now += 1;
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (from, to, message) = entry.remove();
            self.receive(from, to, message);
        }
        for node in 0..self.nodes.len() {
            self.poll(node);
        }
    }

    /// Decides about the waiting calls of a node again.
    fn poll(&mut self, node: usize) {
        let now = Timestamp::new(self.now);
        for (account, arrived) in std::mem::take(&mut self.nodes[node].waiting) {
            let shares = &mut self.nodes[node].shares;
            let decision = shares.wait(now, &account, Timestamp::new(arrived));
            self.settle(&account, arrived, decision);
            if decision == Decision::Wait {
                self.nodes[node].waiting.push((account.clone(), arrived));
            }
            self.flush(node, &account);
        }
    }

    fn settle(&mut self, account: &id::Account, arrived: u64, decision: Decision) {
        let times = match decision {
            Decision::Taken(_) => &mut self.log.taken,
            Decision::Refused { .. } => &mut self.log.refused,
            Decision::Wait => return,
        };
        times.entry(account.clone()).or_default().push(arrived);
        if matches!(decision, Decision::Taken(_)) {
            self.log.waits.push(self.now - arrived);
        }
    }

    /// Sends the requests of a node that are due.
    fn flush(&mut self, node: usize, account: &id::Account) {
        let now = Timestamp::new(self.now);
        for request in self.nodes[node].shares.requests(now, account) {
            let domain = node * self.domains / self.nodes.len();
            let per_domain = self.nodes.len() / self.domains;
            let owner = (domain + usize::from(request.part)) % self.domains * per_domain;
            let asker = Asker {
                node: format!("node-{node}").parse().unwrap(),
                start_ms: self.nodes[node].start_ms,
            };
            let parts = u16::try_from(self.domains).unwrap();
            self.send(node, owner, Message::Ask(parts, asker, request));
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.messages += 1;
        if self.rng.random_range(0..1_000) < self.loss_permille {
            return;
        }
        let per_domain = self.nodes.len() / self.domains;
        let is_far = usize::from(from / per_domain != to / per_domain);
        let delay = if from == to { 0 } else { DELAYS_MS[is_far] };
        let jitter = self.random(2 * delay);
        let key = (self.now + delay + jitter, self.messages);
        self.in_flight.insert(key, (from, to, message));
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let is_cut = from != to && (self.cut.contains(&from) || self.cut.contains(&to));
        if is_cut || self.now < self.nodes[to].down_until {
            return;
        }
        let now = Timestamp::new(self.now);
        let node = &mut self.nodes[to];
        match message {
            Message::Grant(grant) => node.shares.grant(now, &grant),
            Message::Ask(parts, asker, request) => {
                if node.start_ms > 0 && self.now < node.start_ms + RESTART_MS {
                    return;
                }
                let terms = Terms {
                    parts,
                    quota: self.quotas[&request.ask.account],
                    since: match node.start_ms {
                        0 => Timestamp::new(0),
                        start => Timestamp::new(start + RESTART_MS),
                    },
                };
                if let Some(grant) = node.ledger.ask(now, terms, &asker, &request.ask) {
                    self.send(to, from, Message::Grant(grant));
                }
            }
        }
    }
}

impl Log {
    /// Returns the largest number of calls with a token that arrived in a window.
    pub fn most_in_window(&self, account: &id::Account) -> usize {
        let mut times = self.taken.get(account).cloned().unwrap_or_default();
        times.sort_unstable();
        let counts = times.iter().enumerate().map(|(first, start)| {
            let end = times.partition_point(|time| *time < start + WINDOW_MS);
            end - first
        });
        counts.max().unwrap_or(0)
    }

    /// Returns how many calls were refused that a single token bucket for all nodes would have let
    /// through.
    pub fn refused_below(&self, account: &id::Account, quota: Quota) -> usize {
        let times = |log: &BTreeMap<id::Account, Vec<u64>>| log.get(account).cloned();
        let taken = times(&self.taken).unwrap_or_default();
        let refused = times(&self.refused).unwrap_or_default();
        let taken = taken.into_iter().map(|time| (time, false));
        let mut calls: Vec<_> = taken
            .chain(refused.into_iter().map(|time| (time, true)))
            .collect();
        calls.sort_unstable();
        let full = u64::from(quota.burst.get()) * 1_000_000;
        let (mut level, mut updated, mut count) = (full, 0, 0);
        for (time, was_refused) in calls {
            level = (level + (time - updated) * quota.rate.milli()).min(full);
            updated = time;
            if level >= 1_000_000 {
                level -= 1_000_000;
                count += usize::from(was_refused);
            }
        }
        count
    }

    pub fn taken(&self, account: &id::Account) -> usize {
        self.taken.get(account).map_or(0, Vec::len)
    }
}

/// Returns the most calls that may run in a window: what the quota allows, a tenth more, and 20.
pub fn bound(quota: Quota) -> usize {
    let allowed = quota.rate.milli() * WINDOW_MS / 1_000_000 + u64::from(quota.burst.get());
    usize::try_from(allowed * 11 / 10 + 20).unwrap()
}
