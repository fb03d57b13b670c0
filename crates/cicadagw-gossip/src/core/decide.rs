//! The decisions of one node.

use std::net::SocketAddr;
use std::sync::Arc;

use bon::Builder;
use cicadagw_config::Snapshot;
use cicadagw_endpoint::{LocalUpdate, State};
use cicadagw_platform::{Error, Revision};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Version, id};
use cicadagw_view::Endpoints;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::exchange::Range;
use crate::followers::{self, Followers};
use crate::outbound::Outbound;
use crate::register::{Register, Step};
use crate::source::Source;
use crate::{Backend, Call, Effect, Event, Member, Message, Notice, Reply, Stamp, Table};

/// How often a digest goes to another node.
const DIGEST_EVERY: Span = Span::new(500);

/// How long after its start a node asks more often what others know.
const YOUNG: Span = Span::seconds(5);

/// As `DIGEST_EVERY`, after the start and while the platform does not answer: other nodes are the only
/// source then.
const DIGEST_EVERY_AWAY: Span = Span::new(250);

/// What a node is set up with.
#[derive(Builder, Clone, Debug)]
pub struct Setup {
    /// Where the node takes the calls of other nodes.
    pub calls: SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether nothing of this node was registered before.
    pub first_start: bool,
    /// Where it takes the messages of other nodes.
    pub gossip: SocketAddr,
    /// Its name.
    pub node: id::Node,
    /// Its region.
    pub region: id::Region,
    /// What the random choices begin with.
    pub seed: u64,
    /// When it started, in milliseconds since the Unix epoch.
    pub start_ms: u64,
}

/// The decisions of one node.
#[derive(Debug)]
pub struct Core {
    pub(super) digest_due: Timestamp,
    pub(super) effects: Vec<Effect>,
    pub(super) endpoints: Arc<Endpoints>,
    pub(super) beacon_due: Timestamp,
    pub(super) fetch_due: Timestamp,
    pub(super) fetch_until: Option<Timestamp>,
    pub(super) followers: Followers,
    pub(super) is_follower: bool,
    pub(super) is_platform_away: bool,
    pub(super) outbound: Outbound,
    pub(super) own: Member,
    pub(super) register: Register,
    pub(super) rng: StdRng,
    pub(super) snapshot: Option<Arc<Snapshot>>,
    pub(super) source: Source,
    pub(super) table: Table,
}

impl Core {
    /// Creates the decisions of a node that has just started.
    pub fn new(setup: Setup) -> Self {
        let own = Member {
            backend: None,
            calls: setup.calls,
            domain: setup.domain,
            gossip: setup.gossip,
            is_leaving: false,
            node: setup.node,
            region: setup.region,
            stamp: Stamp(setup.start_ms, 0),
        };
        let mut table = Table::default();
        table.merge(&own);
        Self {
            digest_due: Timestamp::default(),
            effects: Vec::new(),
            endpoints: Arc::default(),
            fetch_due: Timestamp::default(),
            beacon_due: Timestamp::default(),
            fetch_until: None,
            followers: Followers::new(Timestamp::default()),
            is_follower: false,
            is_platform_away: false,
            outbound: Outbound::default(),
            own,
            register: Register::new(setup.first_start),
            rng: StdRng::seed_from_u64(setup.seed),
            snapshot: None,
            source: Source::default(),
            table,
        }
    }

    /// Returns the version held; zero when none is.
    pub fn version(&self) -> Version {
        self.snapshot
            .as_ref()
            .map_or_else(Version::default, |snapshot| snapshot.stamp.version)
    }

    /// Returns the members known.
    pub const fn table(&self) -> &Table {
        &self.table
    }

    /// Takes an event in and returns what is to be done.
    pub fn step(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        match event {
            Event::Tick => self.tick(now),
            Event::Local(local) => self.local(now, &local),
            Event::Message(message) => self.message(now, message),
            Event::Reply(reply) => self.reply(now, reply),
            Event::Leave => {
                self.own.is_leaving = true;
                self.tell_all(now);
            }
        }
        std::mem::take(&mut self.effects)
    }

    fn tick(&mut self, now: Timestamp) {
        let is_empty = self.snapshot.is_none();
        self.is_follower = self
            .followers
            .includes(now, &self.table, &self.own, is_empty);
        if self.is_follower
            && let Some(call) = self.source.tick(now, &mut self.rng)
        {
            self.effects.push(Effect::Call(call));
        }
        self.beacon(now);
        match self.register.tick(now) {
            Some(Step::Write { create }) => self.effects.push(Effect::Call(Call::Register {
                member: Box::new(self.own.clone()),
                create,
            })),
            Some(Step::List) => self.effects.push(Effect::Call(Call::Members)),
            None => {}
        }
        self.push(now);
        if now >= self.digest_due {
            let is_young = now.since(Timestamp::default()) < YOUNG;
            let every = if is_young || self.source.is_away() || self.snapshot.is_none() {
                DIGEST_EVERY_AWAY
            } else {
                DIGEST_EVERY
            };
            self.digest_due = now.after(every);
            if let Some(peer) = self.random_peer() {
                let digest = self.digest();
                self.effects.push(Effect::Send(peer, digest));
            }
        }
    }

    /// Says to every node of the region that this one follows, if it does.
    fn beacon(&mut self, now: Timestamp) {
        if now < self.beacon_due || !self.is_follower || !self.source.is_following() {
            return;
        }
        let others: Vec<SocketAddr> = self
            .table
            .iter()
            .filter(|member| member.region == self.own.region && member.node != self.own.node)
            .map(|member| member.gossip)
            .collect();
        self.beacon_due = now.after(followers::beacon_period(others.len()));
        for other in others {
            let digest = self.digest();
            self.effects.push(Effect::Send(other, digest));
        }
    }

    fn local(&mut self, now: Timestamp, local: &LocalUpdate) {
        let held = self.own.backend.as_ref();
        let is_held = held.is_some_and(|backend| backend.endpoint == local.endpoint);
        let backend = match local.state {
            State::Ready => Some(Backend {
                endpoint: local.endpoint.clone(),
                is_ready: true,
                service: local.service.clone(),
                slots: local.slots,
            }),
            // Late news of one that another has replaced.
            State::Draining | State::Gone if !is_held => return,
            State::Draining => held.map(|backend| Backend {
                is_ready: false,
                ..backend.clone()
            }),
            State::Gone => None,
        };
        if self.own.backend != backend {
            self.own.backend = backend;
            self.tell_all(now);
        }
    }

    fn message(&mut self, now: Timestamp, message: Message) {
        match message {
            Message::Push {
                from,
                members,
                wants_ack,
                spread,
            } => {
                let has_changed = self.pushed(now, &from, &members, wants_ack);
                if spread && has_changed {
                    self.relay(&members);
                }
            }
            Message::Ack { from, stamp } => {
                if stamp >= self.own.stamp {
                    self.outbound.done(&from);
                }
            }
            Message::Digest {
                from,
                digest,
                follows,
                version,
            } => {
                self.followers.hear(now, &from, follows);
                self.digested(now, &from, digest, version);
            }
            Message::Parts { from, digests } => self.compare_parts(&from, &digests),
            Message::Have {
                from,
                part,
                after,
                last,
                stamps,
                may_answer,
            } => {
                let range = Range { part, after, last };
                self.compare(&from, &range, &stamps, may_answer);
            }
        }
    }

    fn reply(&mut self, now: Timestamp, reply: Reply) {
        match reply {
            Reply::Registered(outcome) => {
                self.register.written(now, &outcome, &mut self.rng);
                self.note_platform(&outcome);
            }
            Reply::Members(outcome) => {
                let is_answered = outcome.is_ok();
                self.note_platform(&outcome);
                self.listed(now, outcome.unwrap_or_else(|_| Vec::new()));
                let others = self.table.iter().count() - 1;
                self.register
                    .listed(now, is_answered, others, &mut self.rng);
            }
            Reply::Configuration(outcome) => self.configuration(now, outcome),
            Reply::Fetched(outcome) => {
                self.fetch_until = None;
                match outcome {
                    Ok(snapshot) => self.adopt(snapshot, true),
                    Err(error) => {
                        let note = Notice::Refused(error.to_string());
                        self.effects.push(Effect::Log(note));
                    }
                }
            }
        }
    }

    fn configuration(
        &mut self,
        now: Timestamp,
        outcome: Result<(Revision, Option<Arc<Snapshot>>), Error>,
    ) {
        self.note_platform(&outcome);
        let (revision, snapshot) = match outcome {
            Ok((revision, snapshot)) => (Ok(revision), snapshot),
            Err(error) => (Err(error), None),
        };
        if let Some(call) = self.source.answered(now, &revision, &mut self.rng) {
            self.effects.push(Effect::Call(call));
        }
        if let Some(snapshot) = snapshot {
            self.adopt(snapshot, false);
        }
    }

    /// Takes a configuration whose version is above the one held; versions never fall.
    pub(super) fn adopt(&mut self, snapshot: Arc<Snapshot>, from_node: bool) {
        let version = snapshot.stamp.version;
        if version <= self.version() {
            return;
        }
        self.snapshot = Some(snapshot);
        self.publish();
        self.pass_on();
        let note = Notice::Adopted { version, from_node };
        self.effects.push(Effect::Log(note));
    }

    /// Takes the nodes in that the platform lists. What it says of them is older than what they say
    /// themselves, so only those that are not known yet count.
    fn listed(&mut self, now: Timestamp, members: Vec<Member>) {
        let mut has_changed = false;
        for member in members {
            let is_known = self.table.get(&member.node).is_some();
            if member.node == self.own.node {
                self.refute(now, &member);
            } else if !is_known {
                has_changed |= self.merge(now, &member);
            }
        }
        if has_changed {
            self.tell_relays(now);
            self.push(now);
            self.publish();
        }
    }

    /// Takes note of whether the platform answers.
    fn note_platform<T>(&mut self, outcome: &Result<T, Error>) {
        let away = match outcome {
            Err(error @ (Error::Unavailable(_) | Error::Unknown(_))) => Some(error),
            _ => None,
        };
        if away.is_some() == self.is_platform_away {
            return;
        }
        self.is_platform_away = away.is_some();
        let note = match away {
            Some(error) => Notice::PlatformUnavailable(error.to_string()),
            None => Notice::PlatformAvailable,
        };
        self.effects.push(Effect::Log(note));
    }
}
