//! The gossip state machine of one node.

use std::net::SocketAddr;
use std::sync::Arc;

use bon::Builder;
use cicadagw_call::quota::Asker;
use cicadagw_config::Snapshot;
use cicadagw_endpoint::{Departure, Departures, LocalUpdate, State};
use cicadagw_rollout::Directive;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Era, Version, id};
use cicadagw_view::Endpoints;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::anti_entropy::Range;
use super::quota::Quotas;
use crate::freshness::Freshness;
use crate::outbound::Outbound;
use crate::registration::{Registration, Request};
use crate::rollouts::Rollouts;
use crate::source::Source;
use crate::watchers::Watchers;
use crate::{Backend, Call, Effect, Event, Member, Message, Stamp, Table};

/// Interval between two digests sent to a random peer.
const DIGEST_INTERVAL: Span = Span::new(500);

/// How long after its start a node sends digests more often, to learn quickly what its peers know.
const STARTUP_PERIOD: Span = Span::seconds(5);

/// Digest interval during startup, without a configuration, and while the platform is unavailable:
/// peers are the only source of updates then.
const DIGEST_INTERVAL_FAST: Span = Span::new(250);

/// Parameters of a node's [`Core`].
#[derive(Builder, Clone, Debug)]
pub struct Setup {
    /// Address at which the node accepts proxied calls of other nodes.
    pub calls: SocketAddr,
    /// Failure domain of the node.
    pub domain: id::Domain,
    /// Whether this node was never registered at the platform; its object is then created instead
    /// of updated.
    pub first_start: bool,
    /// UDP address at which the node receives gossip messages.
    pub gossip: SocketAddr,
    /// Name of the node.
    pub node: id::Node,
    /// When the clock of the events started, on the clock of views.
    #[builder(default)]
    pub origin: Timestamp,
    /// Region of the node.
    pub region: id::Region,
    /// Age of the configuration from which calls with keys are refused; without one, the node does
    /// not ask for confirmations.
    pub revocation: Option<Span>,
    /// Whether operators order rollouts of releases.
    #[builder(default)]
    pub rollouts: bool,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub start_ms: u64,
}

/// The gossip state machine of one node. It does no I/O: [`Core::step`] turns events into effects.
#[derive(Debug)]
pub struct Core {
    /// Earliest time of the next digest to a random peer.
    pub(super) digest_due: Timestamp,
    /// When the platform last confirmed the configuration, to this node or to a watcher of its
    /// region.
    pub(super) confirmed_at: Timestamp,
    pub(super) effects: Vec<Effect>,
    pub(super) endpoints: Arc<Endpoints>,
    /// The latest era of the platform's store that this node has been told of.
    pub(super) era: Era,
    /// Earliest time of the next beacon.
    pub(super) beacon_due: Timestamp,
    /// Earliest time of the next fetch from another node.
    pub(super) next_fetch: Timestamp,
    /// When the fetch in flight counts as lost; `None` without one.
    pub(super) fetch_deadline: Option<Timestamp>,
    pub(super) watchers: Watchers,
    /// Whether this node watches the platform, as of the last tick.
    pub(super) is_watcher: bool,
    pub(super) is_platform_unavailable: bool,
    /// The age of the configuration, where keys must not outlive their revocation.
    pub(super) freshness: Option<Freshness>,
    /// Whether the configuration was too old for calls with keys at the last tick.
    pub(super) is_stale: bool,
    /// When the clock of the events started, on the clock of views.
    pub(super) origin: Timestamp,
    pub(super) outbound: Outbound,
    /// The record that this node publishes about itself.
    pub(super) own: Member,
    pub(super) quotas: Quotas,
    pub(super) registration: Registration,
    pub(super) rng: StdRng,
    pub(super) rollouts: Rollouts,
    pub(super) snapshot: Option<Arc<Snapshot>>,
    pub(super) source: Source,
    /// The departures from this host that the platform has stored.
    pub(super) stored: Departures,
    pub(super) table: Table,
    /// The departures that the last write of this node's record names.
    pub(super) writing: Departures,
}

impl Core {
    /// Creates the state of a node that has just started: it knows only itself.
    pub fn new(setup: Setup) -> Self {
        let own = Member {
            backend: None,
            calls: setup.calls,
            departures: Departures::default(),
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
            confirmed_at: Timestamp::default(),
            effects: Vec::new(),
            endpoints: Arc::default(),
            era: Era::default(),
            next_fetch: Timestamp::default(),
            beacon_due: Timestamp::default(),
            fetch_deadline: None,
            watchers: Watchers::new(Timestamp::default(), setup.first_start),
            is_watcher: false,
            is_platform_unavailable: false,
            freshness: setup
                .revocation
                .map(|limit| Freshness::new(setup.origin, limit)),
            is_stale: false,
            origin: setup.origin,
            outbound: Outbound::default(),
            own,
            quotas: Quotas::default(),
            registration: Registration::new(setup.first_start),
            rng: StdRng::seed_from_u64(setup.seed),
            rollouts: Rollouts::new(setup.rollouts, setup.start_ms),
            snapshot: None,
            source: Source::default(),
            stored: Departures::default(),
            table,
            writing: Departures::default(),
        }
    }

    /// Returns the version of the current configuration; zero without one.
    pub fn version(&self) -> Version {
        self.snapshot
            .as_ref()
            .map_or_else(Version::default, |snapshot| snapshot.stamp.version)
    }

    /// Returns how long ago the platform last confirmed the configuration, to this node or to a
    /// watcher of its region.
    pub fn confirmed_age(&self, now: Timestamp) -> Span {
        if let Some(freshness) = &self.freshness {
            return freshness.age(self.host_time(now));
        }
        now.since(self.confirmed_at)
    }

    /// Returns the membership table, this node included.
    pub const fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the rollouts that this node knows, withdrawn ones included.
    pub fn rollouts(&self) -> impl Iterator<Item = &Directive> {
        self.rollouts.iter()
    }

    /// Returns the number of rollouts that this node leads.
    pub fn rollouts_led(&self) -> usize {
        self.rollouts.led.len()
    }

    /// Processes `event` and returns the effects to carry out, in order.
    pub fn step(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        match event {
            Event::Tick => self.tick(now),
            Event::Local(local) => self.handle_local(now, &local),
            Event::Report(report) => self.handle_report(now, *report),
            Event::Message(sender, message) => self.handle_message(now, sender, message),
            Event::Quota(request) => self.request_tokens(now, request),
            Event::Reply(reply) => self.handle_reply(now, reply),
            Event::Shutdown => {
                self.own.is_leaving = true;
                // Nodes that start later find this one at the platform, and must not count on it.
                self.registration.rewrite(now);
                self.broadcast(now);
            }
        }
        std::mem::take(&mut self.effects)
    }

    /// Does what is due: requests to the platform, beacons, retransmissions, and a digest to a
    /// random peer.
    fn tick(&mut self, now: Timestamp) {
        self.update_watching(now);
        if self.is_watcher {
            for call in self.source.tick(now, &mut self.rng) {
                self.effects.push(Effect::Call(call));
            }
        }
        self.seek_confirmation(now);
        self.send_beacon(now);
        self.tick_rollouts(now);
        self.tick_registration(now);
        self.push(now);
        self.update_quotas(now);
        if now >= self.digest_due {
            let is_starting = now.since(Timestamp::default()) < STARTUP_PERIOD;
            let interval = if is_starting || self.source.is_failing() || self.snapshot.is_none() {
                DIGEST_INTERVAL_FAST
            } else {
                DIGEST_INTERVAL
            };
            self.digest_due = now.after(interval);
            if let Some(peer) = self.random_peer() {
                let digest = self.digest();
                self.effects.push(Effect::Send(peer, digest));
            }
        }
    }

    /// Makes the request to the platform that is due for this node's record or the list of nodes.
    fn tick_registration(&mut self, now: Timestamp) {
        match self.registration.tick(now) {
            Some(Request::Write { create }) => {
                self.writing = self.own.departures.clone();
                self.effects.push(Effect::Call(Call::Register {
                    member: Box::new(self.own.clone()),
                    create,
                }));
            }
            Some(Request::List(freshness)) => {
                self.effects
                    .push(Effect::Call(Call::ListMembers(freshness)));
            }
            None => {}
        }
    }

    /// Updates this node's record when the state of a backend server on this host changed, and
    /// broadcasts it.
    fn handle_local(&mut self, now: Timestamp, local: &LocalUpdate) {
        let has_departed = local.has_left
            && self.own.departures.record(&Departure {
                endpoint: local.endpoint.clone(),
                started_ms: local.started_ms,
            });
        let current = self.own.backend.as_ref();
        let is_current = current.is_some_and(|backend| backend.endpoint == local.endpoint);
        let backend = match local.state {
            State::Ready => Some(Backend {
                endpoint: local.endpoint.clone(),
                is_ready: true,
                limit: local.limit,
                release: local.release.clone(),
                service: local.service.clone(),
                slots: local.slots,
                started_ms: local.started_ms,
            }),
            // A late update of a backend server that another one has replaced.
            State::Draining | State::Gone if !is_current => current.cloned(),
            State::Draining => current.map(|backend| Backend {
                is_ready: false,
                ..backend.clone()
            }),
            State::Gone => None,
        };
        if has_departed || self.own.backend != backend {
            self.own.backend = backend;
            self.broadcast(now);
        }
        if has_departed {
            // The backend server waits for the acknowledgement.
            self.registration.rewrite_urgently(now);
            self.tick_registration(now);
        }
    }

    /// Processes a gossip message of another node.
    fn handle_message(&mut self, now: Timestamp, sender: SocketAddr, message: Message) {
        self.watchers.record_message(now);
        match message {
            Message::Push {
                from,
                members,
                wants_ack,
                spread,
            } => {
                let has_changed = self.handle_push(now, &from, &members, wants_ack);
                if spread && has_changed {
                    self.relay(&members);
                }
            }
            Message::Ack {
                departures,
                from,
                stamp,
            } => {
                self.restore_departures(now, &departures);
                if stamp >= self.own.stamp {
                    self.outbound.remove(&from);
                }
            }
            Message::Digest {
                from,
                digest,
                follows,
                version,
                rollouts,
            } => {
                self.watchers.record(now, &from, follows);
                if follows {
                    self.confirmed_at = now;
                }
                if self.table.get(&from).is_some() {
                    self.handle_digest(now, &from, digest, version);
                    self.compare_rollouts(sender, rollouts);
                } else {
                    self.introduce(sender);
                }
            }
            Message::Question { number, .. } => self.handle_question(now, sender, number),
            Message::Answer {
                age,
                from,
                number,
                revision,
                version,
            } => self.handle_answer(now, &from, number, age, (revision, version)),
            Message::Rollout { directive } => self.learn_rollout(&directive),
            Message::Report { report } => self.handle_report(now, *report),
            Message::Parts { from, digests } => self.compare_partitions(&from, &digests),
            Message::Have {
                from,
                part,
                after,
                last,
                stamps,
                may_answer,
            } => {
                let range = Range { part, after, last };
                self.compare_range(&from, &range, &stamps, may_answer);
            }
            Message::Ask {
                ask,
                from,
                parts,
                start_ms,
            } => {
                let asker = Asker {
                    node: from,
                    start_ms,
                };
                let is_known = self.table.get(&asker.node).is_some();
                if is_known && let Some(grant) = self.grant_tokens(now, &asker, parts, &ask) {
                    let answer = Message::Grant(grant);
                    self.effects.push(Effect::Send(sender, answer));
                }
            }
            Message::Grant(grant) => self.effects.push(Effect::Grant(grant)),
        }
    }
}
