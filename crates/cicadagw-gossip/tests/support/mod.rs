//! A fleet of decisions joined by a network and a platform of plain functions.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses its own part of the fixtures"
)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use cicadagw_config::{Config, Preset, Snapshot};
use cicadagw_endpoint::{LocalUpdate, State};
use cicadagw_gossip::{Call, Core, Effect, Event, Member, Message, Notice, Reply, Setup};
use cicadagw_platform::{Error, Revision};
use cicadagw_unit::Version;
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_view::View;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// How far the time goes on with each step.
pub const STEP: Span = Span::new(50);

/// The regions; nodes stand in them by turns.
const REGIONS: [&str; 2] = ["kochi", "kozhikode"];

/// One node.
pub struct Node {
    pub core: Core,
    pub view: View,
    pub notes: Vec<String>,
    /// Calls that the platform has received of it.
    pub calls: usize,
    /// A call that waits for a change.
    waiting: Option<Revision>,
}

/// The platform: what it holds, and whom it turns away.
#[derive(Default)]
pub struct Platform {
    pub members: BTreeMap<String, Member>,
    pub config: Option<(Revision, Arc<Snapshot>)>,
    pub revision: u64,
    pub turned_away: BTreeSet<usize>,
    pub has_forgotten: bool,
}

/// The nodes, the network between them, and the platform.
pub struct Fleet {
    pub now: Timestamp,
    pub nodes: Vec<Node>,
    pub platform: Platform,
    /// The share of messages that are lost, in thousandths.
    pub loss: u32,
    /// Nodes that no message reaches or leaves.
    pub cut: BTreeSet<usize>,
    /// The bytes of all messages sent.
    pub bytes: usize,
    /// The bytes of those that went to another region.
    pub far_bytes: usize,
    rng: StdRng,
    on_the_way: VecDeque<(usize, Message)>,
}

pub fn snapshot(version: u64) -> Arc<Snapshot> {
    let preset: cicadagw_unit::id::Preset = "operator".parse().unwrap();
    let mut config = Config::default();
    config.presets.insert(preset.clone(), Preset::default());
    Arc::new(Snapshot::new(Version::new(version), preset, config))
}

pub fn local(endpoint: &str, state: State) -> LocalUpdate {
    LocalUpdate {
        endpoint: endpoint.parse().unwrap(),
        service: "orders".parse().unwrap(),
        slots: Slots::new(9),
        state,
    }
}

fn address(index: usize) -> SocketAddr {
    let port = u16::try_from(index).unwrap() + 1;
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Creates the decisions of node `index`, in one of two regions.
pub fn core(index: usize, start: u64) -> Core {
    let region = REGIONS[index % REGIONS.len()];
    let setup = Setup::builder()
        .calls(address(index))
        .domain(format!("{region}-a").parse().unwrap())
        .first_start(start == 1)
        .gossip(address(index))
        .node(format!("node-{index:04}").parse().unwrap())
        .region(region.parse().unwrap())
        .seed(index as u64)
        .start_ms(start)
        .build();
    Core::new(setup)
}

impl Fleet {
    pub fn new(count: usize) -> Self {
        Self {
            now: Timestamp::new(0),
            nodes: (0..count).map(|index| Node::new(core(index, 1))).collect(),
            platform: Platform::default(),
            loss: 0,
            cut: BTreeSet::new(),
            bytes: 0,
            far_bytes: 0,
            rng: StdRng::seed_from_u64(5),
            on_the_way: VecDeque::new(),
        }
    }

    /// Puts a configuration in force.
    pub fn configure(&mut self, version: u64) {
        self.platform.revision += 1;
        let revision = Revision(self.platform.revision);
        self.platform.config = Some((revision, snapshot(version)));
    }

    /// Lets `span` pass.
    pub fn run(&mut self, span: Span) {
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(STEP);
            for index in 0..self.nodes.len() {
                self.answer_waiting(index);
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
                Effect::Log(note) => self.nodes[index].note(&note),
                Effect::Publish(view) => self.nodes[index].view = view,
                Effect::Send(to, message) => self.send(index, to, message),
            }
        }
    }

    /// Replaces a node by one that knows nothing.
    pub fn restart(&mut self, index: usize, start: u64) {
        self.nodes[index] = Node::new(core(index, start));
    }

    /// Returns the versions held.
    pub fn versions(&self) -> Vec<u64> {
        let versions = self.nodes.iter().map(|node| node.core.version().get());
        versions.collect()
    }

    /// Returns how many endpoints each node knows to take work.
    pub fn endpoints(&self) -> Vec<usize> {
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
            size <= cicadagw_gossip::message::SIZE_MAX,
            "{size} bytes: {message:?}"
        );
        let to = usize::from(to.port()) - 1;
        if from % REGIONS.len() != to % REGIONS.len() {
            self.far_bytes += size;
        }
        let is_cut = self.cut.contains(&from) || self.cut.contains(&to);
        let is_lost = self.rng.random_range(0..1_000) < self.loss;
        if to < self.nodes.len() && !is_cut && !is_lost {
            self.on_the_way.push_back((to, message));
        }
    }

    fn deliver(&mut self) {
        // What a message leads to is on its way in the next round.
        for _ in 0..self.on_the_way.len() {
            let (to, message) = self.on_the_way.pop_front().unwrap();
            self.step(to, Event::Message(message));
        }
    }

    fn call(&mut self, index: usize, call: Call) {
        if let Call::Fetch(address) = &call {
            let from = usize::from(address.port()) - 1;
            let version = self.nodes[from].core.version().get();
            let is_cut = self.cut.contains(&from) || self.cut.contains(&index);
            let fetched = if is_cut {
                Err(Error::Unavailable("cut".to_owned()))
            } else {
                Ok(snapshot(version))
            };
            return self.step(index, Event::Reply(Reply::Fetched(fetched)));
        }
        self.nodes[index].calls += 1;
        let is_away = self.platform.turned_away.contains(&index);
        let away = || Error::Unavailable("turned away".to_owned());
        let reply = match call {
            Call::Register { .. } if is_away => Reply::Registered(Err(away())),
            Call::Members if is_away => Reply::Members(Err(away())),
            Call::Read | Call::Watch { .. } if is_away => Reply::Configuration(Err(away())),
            Call::Register { member, create } => {
                let is_there = self.platform.members.contains_key(member.node.as_str());
                Reply::Registered(if is_there == create {
                    Err(Error::Conflict)
                } else {
                    let name = member.node.to_string();
                    self.platform.members.insert(name, *member);
                    Ok(())
                })
            }
            Call::Members => Reply::Members(Ok(self.platform.members.values().cloned().collect())),
            Call::Read => Reply::Configuration(match &self.platform.config {
                Some((revision, snapshot)) => Ok((*revision, Some(snapshot.clone()))),
                None => Err(Error::Compacted),
            }),
            Call::Watch { after, .. } => {
                self.nodes[index].waiting = Some(after);
                return;
            }
            Call::Fetch(_) => unreachable!("answered above"),
        };
        self.step(index, Event::Reply(reply));
    }

    fn answer_waiting(&mut self, index: usize) {
        let Some(after) = self.nodes[index].waiting else {
            return;
        };
        let reply = if self.platform.turned_away.contains(&index) {
            Err(Error::Unavailable("turned away".to_owned()))
        } else if self.platform.has_forgotten {
            Err(Error::Compacted)
        } else {
            match &self.platform.config {
                Some((revision, snapshot)) if *revision > after => {
                    Ok((*revision, Some(snapshot.clone())))
                }
                _ => return,
            }
        };
        self.nodes[index].waiting = None;
        self.step(index, Event::Reply(Reply::Configuration(reply)));
    }
}

impl Node {
    fn new(core: Core) -> Self {
        Self {
            core,
            view: View::default(),
            notes: Vec::new(),
            calls: 0,
            waiting: None,
        }
    }

    fn note(&mut self, note: &Notice) {
        self.notes.push(match note {
            Notice::Adopted { version, from_node } => {
                let source = if *from_node { "a node" } else { "the platform" };
                format!("version {version} from {source}")
            }
            Notice::MemberChanged(member) => {
                let backend = member.backend.as_ref();
                let backend = backend.map_or("nothing".to_owned(), |backend| {
                    let state = if backend.is_ready {
                        "ready"
                    } else {
                        "draining"
                    };
                    format!("{} {state}", backend.endpoint)
                });
                format!("{} has {backend}", member.node)
            }
            other => other.to_string(),
        });
    }
}
