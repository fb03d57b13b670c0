//! A simulated fleet: state machines joined by an in-memory network and platform.

#![allow(
    dead_code,
    unreachable_pub,
    unused_imports,
    reason = "each test file uses its own part of the fixtures"
)]

mod load;
mod platform;
mod record;
mod rollout;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use cicadagw_call::quota::Grant;
use cicadagw_config::Snapshot;
use cicadagw_endpoint::Departures;
use cicadagw_gossip::{Call, Core, Effect, Event, Member, Message, Notice, Reply};
use cicadagw_platform::{Era, Error, Revision};
use cicadagw_rollout::Entry;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_view::View;
pub use load::{Behaviour, Load};
pub use platform::{Copy, Platform};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
pub use record::{
    REVOCATION, address, local, member, new_core, new_strict_core, origin, snapshot,
    snapshot_with_quota,
};
pub use rollout::{DURATION, TAKEOVER_MAX, has_ended, ordered, state};

/// Time between two ticks.
pub const TICK: Span = Span::new(50);

/// A node of the fleet.
pub struct Node {
    pub core: Core,
    /// When the process started; its clock begins at zero.
    pub started: Timestamp,
    pub view: View,
    pub notices: Vec<String>,
    /// The answers to requests for tokens.
    pub grants: Vec<Grant>,
    /// The departures that the platform has stored, as the calls duty knows.
    pub stored: Departures,
    /// Number of requests that the platform has received from the node.
    pub requests: usize,
    /// The watches that wait for a change: their revisions, and when their waits are over.
    pending_watches: Vec<(Revision, Timestamp)>,
    /// The watch of rollouts that waits for a change, if one does: its revision, and when its wait is
    /// over.
    pending_rollout_watch: Option<(Revision, Timestamp)>,
    /// Responses that arrive later, and when.
    delayed: Vec<(Timestamp, Reply)>,
    /// The era of the platform that the last response named.
    era: Option<Era>,
}

/// The nodes, the network between them, and the platform.
pub struct Fleet {
    pub now: Timestamp,
    pub nodes: Vec<Node>,
    pub platform: Platform,
    /// Share of messages that are lost, in thousandths.
    pub loss_permille: u32,
    /// Nodes that neither send nor receive any message.
    pub isolated: BTreeSet<usize>,
    /// Nodes whose processes stand still; messages to them wait.
    pub frozen: BTreeSet<usize>,
    /// The longest time that a message takes, in ticks.
    pub delay_ticks: u64,
    /// Whether the first response of another era is preceded by a notice of the restore.
    pub announces_restores: bool,
    /// Whether operators order rollouts.
    has_rollouts: bool,
    /// Nodes from which a fetch of the configuration gets no response.
    pub silent_to_fetches: BTreeSet<usize>,
    /// Total size of all messages sent, in bytes.
    pub bytes: usize,
    /// Total size of the messages sent to another region, in bytes.
    pub cross_region_bytes: usize,
    /// Number of reads of the configuration that the platform has received.
    pub config_reads: usize,
    /// Number of questions whether the configuration is current that the platform has answered.
    pub confirmations: usize,
    rng: StdRng,
    in_flight: VecDeque<(Timestamp, usize, usize, Message)>,
}

impl Fleet {
    pub fn new(count: usize) -> Self {
        Self {
            now: Timestamp::new(0),
            nodes: (0..count)
                .map(|index| Node::new(new_core(index, 1)))
                .collect(),
            platform: Platform::default(),
            loss_permille: 0,
            isolated: BTreeSet::new(),
            frozen: BTreeSet::new(),
            delay_ticks: 0,
            announces_restores: true,
            has_rollouts: false,
            silent_to_fetches: BTreeSet::new(),
            bytes: 0,
            cross_region_bytes: 0,
            rng: StdRng::seed_from_u64(5),
            in_flight: VecDeque::new(),
            config_reads: 0,
            confirmations: 0,
        }
    }

    /// Stores a configuration of this version with a client account at the platform.
    pub fn publish_account(&mut self, version: u64) {
        self.publish_configuration(version);
        let revision = self.platform.at();
        self.platform.config = Some((revision, snapshot_with_quota(version)));
    }

    /// Creates a fleet in which keys must not outlive their revocation.
    pub fn strict(count: usize) -> Self {
        let mut fleet = Self::new(0);
        let nodes = (0..count).map(|index| Node::new(new_strict_core(index, 1)));
        fleet.nodes = nodes.collect();
        fleet
    }

    /// Stores a configuration of this version at the platform.
    pub fn publish_configuration(&mut self, version: u64) {
        self.platform.revision += 1;
        let revision = self.platform.at();
        self.platform.config = Some((revision, snapshot(version)));
    }

    /// Advances the time by `span`, tick by tick.
    pub fn run(&mut self, span: Span) {
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(TICK);
            for index in 0..self.nodes.len() {
                if self.frozen.contains(&index) {
                    continue;
                }
                self.respond_to_watches(index);
                self.respond_to_rollout_watch(index);
                self.respond_late(index);
                self.step(index, Event::Tick);
            }
            self.deliver();
        }
    }

    pub fn step(&mut self, index: usize, event: Event) {
        if let Event::Reply(reply) = &event
            && is_response(reply)
        {
            let era = self.platform.era;
            let known = self.nodes[index].era.replace(era);
            if self.announces_restores && known.is_some_and(|known| known < era) {
                self.step(index, Event::Reply(Reply::Restored(era)));
            }
        }
        let node = &mut self.nodes[index];
        let effects = node
            .core
            .step(Timestamp::new(self.now.since(node.started).get()), event);
        for effect in effects {
            match effect {
                Effect::Call(call) => self.call(index, call),
                Effect::Grant(grant) => self.nodes[index].grants.push(grant),
                Effect::Stored(departures) => self.nodes[index].stored = departures,
                Effect::Log(notice) => self.nodes[index].log(&notice),
                Effect::Publish(view) => self.nodes[index].view = view,
                Effect::Send(to, message) => self.send(index, to, message),
            }
        }
    }

    /// Replaces a node by a new process that started at `start_ms` and knows only itself.
    pub fn restart(&mut self, index: usize, start_ms: u64) {
        self.nodes[index] = Node::new(if self.has_rollouts {
            record::new_core_with_rollouts(index, start_ms)
        } else {
            new_core(index, start_ms)
        });
    }

    /// Replaces a node by a new process that starts now, and whose clock begins at zero.
    pub fn restart_now(&mut self, index: usize) {
        self.restart(index, self.unix_ms());
        self.nodes[index].started = self.now;
    }

    /// Returns the time in milliseconds since the Unix epoch.
    pub const fn unix_ms(&self) -> u64 {
        self.now.get() + 1
    }

    /// Replaces a node where keys must not outlive their revocation.
    pub fn restart_strict(&mut self, index: usize, start_ms: u64) {
        self.nodes[index] = Node::new(new_strict_core(index, start_ms));
    }

    /// Returns the version of each node's configuration.
    pub fn versions(&self) -> Vec<u64> {
        let versions = self.nodes.iter().map(|node| node.core.version().get());
        versions.collect()
    }

    /// Returns the number of endpoints that each node knows to accept requests.
    pub fn endpoint_counts(&self) -> Vec<usize> {
        let counts = self.nodes.iter().map(|node| {
            let lists = node.view.endpoints.values();
            lists.map(Vec::len).sum()
        });
        counts.collect()
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let size = message.encode().len();
        self.bytes += size;
        assert!(
            size <= cicadagw_gossip::message::DATAGRAM_MAX,
            "{size} bytes: {message:?}"
        );
        let to = usize::from(to.port()) - 1;
        if from % record::REGIONS.len() != to % record::REGIONS.len() {
            self.cross_region_bytes += size;
        }
        let is_isolated = self.isolated.contains(&from)
            || self.isolated.contains(&to)
            || self.frozen.contains(&to);
        let is_lost = self.rng.random_range(0..1_000) < self.loss_permille;
        if to < self.nodes.len() && !is_isolated && !is_lost {
            let delay = self.delay_ticks;
            let ticks = if delay > 0 {
                self.rng.random_range(0..=delay)
            } else {
                0
            };
            let due = self.now.after(TICK.times(ticks));
            self.in_flight.push_back((due, from, to, message));
        }
    }

    fn deliver(&mut self) {
        // Messages that are sent in response are delivered after the next tick.
        for _ in 0..self.in_flight.len() {
            let (due, from, to, message) = self.in_flight.pop_front().unwrap();
            if due > self.now || self.frozen.contains(&to) {
                self.in_flight.push_back((due, from, to, message));
                continue;
            }
            self.step(to, Event::Message(address(from), message));
        }
    }
}

/// Returns whether a reply is a response of the platform.
fn is_response(reply: &Reply) -> bool {
    !matches!(reply, Reply::Fetched(_) | Reply::Restored(_))
}

impl Node {
    fn new(core: Core) -> Self {
        Self {
            core,
            started: Timestamp::default(),
            view: View::default(),
            notices: Vec::new(),
            grants: Vec::new(),
            stored: Departures::default(),
            requests: 0,
            pending_watches: Vec::new(),
            pending_rollout_watch: None,
            delayed: Vec::new(),
            era: None,
        }
    }

    fn log(&mut self, notice: &Notice) {
        self.notices.push(match notice {
            Notice::Adopted { version, from_node } => {
                let source = if *from_node { "a node" } else { "the platform" };
                format!("version {version} applied from {source}")
            }
            Notice::MemberChanged(member) => {
                let backend = member.backend.as_ref();
                let backend = backend.map_or("none".to_owned(), |backend| {
                    let state = if backend.is_ready {
                        "ready"
                    } else {
                        "draining"
                    };
                    format!("{} {state}", backend.endpoint)
                });
                format!("{} has endpoint {backend}", member.node)
            }
            other => other.to_string(),
        });
    }
}
