//! A simulated fleet: state machines joined by an in-memory network and platform.

#![allow(
    dead_code,
    unreachable_pub,
    unused_imports,
    reason = "each test file uses its own part of the fixtures"
)]

mod load;
mod record;
mod rollout;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use cicadagw_call::quota::Grant;
use cicadagw_config::Snapshot;
use cicadagw_gossip::{Call, Core, Effect, Event, Member, Message, Notice, Reply};
use cicadagw_platform::{Error, Revision};
use cicadagw_rollout::Entry;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_view::View;
pub use load::{Behaviour, Load};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
pub use record::{address, local, member, new_core, snapshot, snapshot_with_quota};

/// Time between two ticks.
pub const TICK: Span = Span::new(50);

/// Timeout of a request to the platform; the wait of a watch is added to it.
const CALL_TIMEOUT: Span = Span::seconds(2);

/// A node of the fleet.
pub struct Node {
    pub core: Core,
    pub view: View,
    pub notices: Vec<String>,
    /// The answers to requests for tokens.
    pub grants: Vec<Grant>,
    /// Number of requests that the platform has received from the node.
    pub requests: usize,
    /// The watch that waits for a change, if one does: its revision, and when its wait is over.
    pending_watch: Option<(Revision, Timestamp)>,
    /// The watch of rollouts that waits for a change, if one does: its revision, and when its wait is
    /// over.
    pending_rollout_watch: Option<(Revision, Timestamp)>,
    /// Responses that arrive later, and when.
    delayed: Vec<(Timestamp, Reply)>,
}

/// A simulated platform.
#[derive(Default)]
#[expect(clippy::struct_excessive_bools, reason = "each is a fault of its own")]
pub struct Platform {
    pub members: BTreeMap<String, Member>,
    pub config: Option<(Revision, Arc<Snapshot>)>,
    pub revision: u64,
    /// Number of member records written.
    pub writes: usize,
    /// Nodes whose requests fail.
    pub unavailable_to: BTreeSet<usize>,
    /// Nodes whose requests get no response, so that they time out.
    pub silent_to: BTreeSet<usize>,
    /// Whether watches stay open without delivering any change.
    pub is_deaf: bool,
    /// Whether checks fail because the history that they need was compacted.
    pub checks_find_no_history: bool,
    /// Whether watches fail because the history that they need was compacted.
    pub has_compacted: bool,
    /// The orders of rollouts by service, withdrawn ones included.
    pub orders: BTreeMap<String, Entry>,
    /// Number of statuses of rollouts written.
    pub rollout_writes: usize,
    /// Whether the responses to writes of the status of rollouts are lost.
    pub loses_responses: bool,
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
    /// Nodes that do nothing for now.
    pub frozen: BTreeSet<usize>,
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
    rng: StdRng,
    in_flight: VecDeque<(usize, usize, Message)>,
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
            has_rollouts: false,
            silent_to_fetches: BTreeSet::new(),
            bytes: 0,
            cross_region_bytes: 0,
            rng: StdRng::seed_from_u64(5),
            in_flight: VecDeque::new(),
            config_reads: 0,
        }
    }

    /// Stores a configuration of this version at the platform.
    pub fn publish_configuration(&mut self, version: u64) {
        self.platform.revision += 1;
        let revision = Revision(self.platform.revision);
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
                self.respond_to_watch(index);
                self.respond_to_rollout_watch(index);
                self.respond_late(index);
                self.step(index, Event::Tick);
            }
            self.deliver();
        }
    }

    pub fn step(&mut self, index: usize, event: Event) {
        let effects = self.nodes[index].core.step(self.now, event);
        for effect in effects {
            match effect {
                Effect::Call(call) => self.call(index, call),
                Effect::Grant(grant) => self.nodes[index].grants.push(grant),
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
            self.in_flight.push_back((from, to, message));
        }
    }

    fn deliver(&mut self) {
        // Messages that are sent in response are delivered after the next tick.
        for _ in 0..self.in_flight.len() {
            let (from, to, message) = self.in_flight.pop_front().unwrap();
            self.step(to, Event::Message(address(from), message));
        }
    }

    /// Responds to a request of a node, except for a watch, which waits for a change.
    fn call(&mut self, index: usize, call: Call) {
        if let Call::FetchConfiguration(address) = &call {
            let from = usize::from(address.port()) - 1;
            if self.silent_to_fetches.contains(&from) {
                return self.time_out(index, &call);
            }
            let version = self.nodes[from].core.version().get();
            let is_isolated = self.isolated.contains(&from) || self.isolated.contains(&index);
            let fetched = if is_isolated {
                Err(Error::Unavailable("isolated".to_owned()))
            } else {
                Ok(snapshot(version))
            };
            return self.step(index, Event::Reply(Reply::Fetched(fetched)));
        }
        self.nodes[index].requests += 1;
        self.config_reads += usize::from(matches!(call, Call::ReadConfiguration));
        let is_unavailable = self.platform.unavailable_to.contains(&index);
        let unavailable = || Error::Unavailable("unavailable".to_owned());
        if self.platform.silent_to.contains(&index) {
            return self.time_out(index, &call);
        }
        let reply = match call {
            Call::Register { .. } if is_unavailable => Reply::Registered(Err(unavailable())),
            Call::ListMembers if is_unavailable => Reply::Members(Err(unavailable())),
            Call::ReadConfiguration | Call::WatchConfiguration { .. } if is_unavailable => {
                Reply::Configuration(Err(unavailable()))
            }
            Call::CheckConfiguration { .. } if is_unavailable => Reply::Checked(Err(unavailable())),
            Call::CheckConfiguration { .. } if self.platform.checks_find_no_history => {
                Reply::Checked(Err(Error::Compacted))
            }
            Call::CheckConfiguration { after, .. } => {
                Reply::Checked(Ok(match &self.platform.config {
                    Some((revision, snapshot)) if *revision > after => {
                        (*revision, Some(snapshot.clone()))
                    }
                    _ => (after, None),
                }))
            }
            Call::Register { member, create } => {
                let exists = self.platform.members.contains_key(member.node.as_str());
                Reply::Registered(if exists == create {
                    Err(Error::Conflict)
                } else {
                    let name = member.node.to_string();
                    self.platform.writes += 1;
                    self.platform.members.insert(name, *member);
                    Ok(())
                })
            }
            Call::ListMembers => {
                Reply::Members(Ok(self.platform.members.values().cloned().collect()))
            }
            Call::ReadConfiguration => Reply::Configuration(match &self.platform.config {
                Some((revision, snapshot)) => Ok((*revision, Some(snapshot.clone()))),
                None => Err(Error::Compacted),
            }),
            Call::WatchConfiguration { after, wait } => {
                self.nodes[index].pending_watch = Some((after, self.now.after(wait)));
                return;
            }
            Call::ListRollouts | Call::WatchRollouts { .. } | Call::WriteRollout { .. } => {
                return self.rollout_call(index, call);
            }
            Call::FetchConfiguration(_) => unreachable!("a fetch returns above"),
        };
        self.step(index, Event::Reply(reply));
    }

    /// Lets a request end with a timeout.
    fn time_out(&mut self, index: usize, call: &Call) {
        let error = || Error::Unavailable("timeout".to_owned());
        let (timeout, reply) = match call {
            Call::Register { .. } => (CALL_TIMEOUT, Reply::Registered(Err(error()))),
            Call::ListMembers => (CALL_TIMEOUT, Reply::Members(Err(error()))),
            Call::ReadConfiguration => (CALL_TIMEOUT, Reply::Configuration(Err(error()))),
            Call::WatchConfiguration { wait, .. } => {
                (wait.plus(CALL_TIMEOUT), Reply::Configuration(Err(error())))
            }
            Call::CheckConfiguration { timeout, .. } => (*timeout, Reply::Checked(Err(error()))),
            Call::ListRollouts => (CALL_TIMEOUT, Reply::Rollouts(Err(error()))),
            Call::WatchRollouts { wait, .. } => {
                (wait.plus(CALL_TIMEOUT), Reply::Rollouts(Err(error())))
            }
            Call::WriteRollout { service, .. } => {
                let reply = Reply::RolloutWritten(service.clone(), Err(error()));
                (CALL_TIMEOUT, reply)
            }
            Call::FetchConfiguration(_) => (CALL_TIMEOUT, Reply::Fetched(Err(error()))),
        };
        let at = self.now.after(timeout);
        self.nodes[index].delayed.push((at, reply));
    }

    /// Delivers the responses that are due.
    fn respond_late(&mut self, index: usize) {
        let delayed = std::mem::take(&mut self.nodes[index].delayed);
        let (due, later) = delayed.into_iter().partition(|(at, _)| *at <= self.now);
        self.nodes[index].delayed = later;
        let due: Vec<(Timestamp, Reply)> = due;
        for (_, reply) in due {
            self.step(index, Event::Reply(reply));
        }
    }

    /// Responds to a pending watch if the configuration has changed, the platform fails, or the
    /// wait is over. A watch of a node to which the platform has fallen silent ends with a timeout.
    fn respond_to_watch(&mut self, index: usize) {
        let Some((after, until)) = self.nodes[index].pending_watch else {
            return;
        };
        let is_silent = self.platform.silent_to.contains(&index);
        let change = match &self.platform.config {
            Some((revision, snapshot)) if *revision > after && !self.platform.is_deaf => {
                Some((*revision, Some(snapshot.clone())))
            }
            _ if self.now >= until => Some((after, None)),
            _ => None,
        };
        let reply = if is_silent && self.now < until.after(CALL_TIMEOUT) {
            return;
        } else if is_silent || self.platform.unavailable_to.contains(&index) {
            Err(Error::Unavailable("unavailable".to_owned()))
        } else if self.platform.has_compacted {
            Err(Error::Compacted)
        } else if let Some(change) = change {
            Ok(change)
        } else {
            return;
        };
        self.nodes[index].pending_watch = None;
        self.step(index, Event::Reply(Reply::Configuration(reply)));
    }
}

impl Node {
    fn new(core: Core) -> Self {
        Self {
            core,
            view: View::default(),
            notices: Vec::new(),
            grants: Vec::new(),
            requests: 0,
            pending_watch: None,
            pending_rollout_watch: None,
            delayed: Vec::new(),
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
