//! The control state machine of one node, which combines the election of roots, the distribution
//! tree, the snapshots and the endpoints.

use std::sync::Arc;

use cicadagw_config::Stamp;
use cicadagw_endpoint::State;
use cicadagw_finding::Findings;
use cicadagw_settings::Settings;
use cicadagw_unit::time::Timestamp;
use cicadagw_unit::{Version, id};
use cicadagw_view::Endpoints;
use cicadagw_wire::link::{Command, LinkId};
use cicadagw_wire::{Down, Report, Up};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::adopt::Snapshots;
use crate::census::Census;
use crate::charts::Charts;
use crate::children::Children;
use crate::election::Election;
use crate::endpoints::Registry;
use crate::fetch::Fetch;
use crate::platform::{self, Purpose};
use crate::uplink::Uplink;
use crate::{Dump, Effect, Event, Identity, Scope, directory, status};

/// The control state machine of one node.
pub struct Core {
    pub(crate) settings: Settings,
    pub(crate) identity: Identity,
    pub(crate) rng: SmallRng,
    pub(crate) snapshots: Snapshots,
    pub(crate) endpoints: Arc<Endpoints>,
    pub(crate) registry: Registry,
    pub(crate) election: Election,
    pub(crate) uplink: Uplink,
    pub(crate) children: Children,
    pub(crate) fetch: Fetch,
    pub(crate) census: Census,
    pub(crate) status: status::Writer,
    /// Writes which nodes the failure domain has, while this node is its root.
    pub(crate) directory: directory::Writer,
    /// Nodes whose responses to a census are not yet counted or forwarded to the parent. In a
    /// census, every node of the failure domain that is alive responds.
    pub(crate) present: Vec<id::Node>,
    /// The last report sent to the parent, and when.
    pub(crate) last_report: (Timestamp, Option<Report>),
    /// When heartbeats were last sent to the children, minus a random jitter that spreads the
    /// heartbeats of nodes started together.
    pub(crate) last_heartbeat: Timestamp,
    pub(crate) effects: Vec<Effect>,
}

impl Core {
    /// Creates the state of a node that has just started; `seed` must differ between process
    /// starts, since it is also the term of the node's claims, which tells this process from
    /// earlier ones.
    ///
    /// # Errors
    ///
    /// Returns the findings of the embedded charts, each with its location, if a chart is invalid.
    pub fn new(settings: &Settings, seed: u64) -> Result<Self, Findings> {
        let charts = Charts::load()?;
        let identity = Identity::from(settings);
        Ok(Self {
            settings: settings.clone(),
            rng: SmallRng::seed_from_u64(seed),
            snapshots: Snapshots::new(charts.adopt),
            endpoints: Arc::default(),
            registry: Registry::new(identity.clone()),
            election: Election::new(&charts.lease, &identity, seed, settings.timing.lease),
            uplink: Uplink::new(charts.uplink, identity.member.link),
            children: Children::default(),
            fetch: Fetch::default(),
            census: Census::default(),
            status: status::Writer::default(),
            directory: directory::Writer::default(),
            present: Vec::new(),
            last_report: (Timestamp::default(), None),
            last_heartbeat: Timestamp::default(),
            effects: Vec::new(),
            identity,
        })
    }

    /// Processes `event` and returns the effects to carry out, in order.
    pub fn step(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        match event {
            Event::Shutdown => self.shut_down(now),
            Event::Link(event) => self.handle_link(now, event),
            Event::Local(local) => {
                // A drain or removal is sent now; a new endpoint waits for the next tick.
                let is_urgent = local.state != State::Ready;
                self.registry.update_local(now, local);
                if is_urgent {
                    self.propagate_endpoints();
                }
            }
            Event::Platform(reply) => self.handle_reply(now, reply),
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns the stamp (version and digest) of the current snapshot; the node is ready once there
    /// is one.
    pub fn held(&self) -> Option<Stamp> {
        self.snapshots.held().map(|held| held.stamp)
    }

    /// Returns the highest version known to exist, whether this node has its snapshot or not.
    pub fn highest_seen(&self) -> Version {
        self.snapshots.highest_seen()
    }

    /// Returns the number of known endpoints in `state`.
    pub fn endpoint_count(&self, state: State) -> u64 {
        let records = self.registry.table().records();
        records.filter(|record| record.state == state).count() as u64
    }

    /// Returns the current state for diagnosis.
    pub fn dump(&self) -> Dump {
        Dump {
            children: self.children.members(),
            endpoints: self.registry.table().clone(),
            held: self.snapshots.stamp(),
            highest_seen: self.snapshots.highest_seen(),
            identity: self.identity.clone(),
            leases: self
                .election
                .states()
                .map(|(scope, state)| (scope, state.to_string()))
                .collect(),
            path: self.uplink.path().to_vec(),
            preset: self.snapshots.held().map(|held| held.preset.clone()),
            refused: self.snapshots.refusal().cloned(),
            report: self.report(),
            uplink: self.uplink.state().to_string(),
        }
    }

    /// Does what is due: leases, parent, platform, silent children, endpoint updates, the tasks of
    /// a root, and heartbeats.
    fn tick(&mut self, now: Timestamp) {
        let timing = self.settings.timing.clone();
        self.tick_leases(now);
        self.tick_uplink(now);
        self.watch(now);
        for session in self.children.remove_silent(now, timing.peer_timeout()) {
            self.command(Command::Close { session });
        }
        self.registry.tick(now, timing.renewal.times(2));
        self.propagate_endpoints();
        self.forward_census_responses();
        self.tick_root(now);
        self.send_heartbeats(now);
    }

    /// Releases all leases now, so that other nodes need not wait for them to expire, and closes
    /// the links to the children if this node was a root.
    fn shut_down(&mut self, now: Timestamp) {
        let was_root = self.election.scope().is_some();
        let outcome = self.election.shut_down(now);
        self.apply_election(now, outcome);
        if was_root {
            self.close_children();
        }
    }

    /// Returns whether this node is the root of the fleet, which has no parent.
    pub(crate) fn is_fleet_root(&self) -> bool {
        self.election.scope() == Some(Scope::Fleet)
    }

    /// Processes the response to a platform request, by its purpose.
    fn handle_reply(&mut self, now: Timestamp, reply: platform::Reply) {
        match reply.purpose {
            Purpose::Lease(scope) => {
                let outcome = self.election.reply(now, scope, reply.outcome);
                self.apply_election(now, outcome);
                self.prefer_next_root();
            }
            Purpose::Head => {
                let outcome = self.fetch.head(now, reply.outcome, &self.snapshots);
                self.handle_fetch(now, outcome);
            }
            Purpose::Part(index) => {
                let outcome = self.fetch.part(now, index, reply.outcome, &self.snapshots);
                self.handle_fetch(now, outcome);
            }
            Purpose::Status => self.status.reply(reply.outcome.is_ok()),
            Purpose::Directory => self.directory.reply(reply.outcome.is_ok()),
        }
    }

    /// Sends a message to the parent; does nothing without one.
    pub(crate) fn send_up(&mut self, message: Up) {
        if let Some(session) = self.uplink.joined() {
            self.command(Command::Up {
                session,
                message: Box::new(message),
            });
        }
    }

    /// Sends a message over the links `sessions` to children.
    pub(crate) fn send_down(&mut self, sessions: Vec<LinkId>, message: Down) {
        if !sessions.is_empty() {
            self.command(Command::Down {
                sessions,
                message: Arc::new(message),
            });
        }
    }

    /// Adds a command for the links duty to the effects.
    pub(crate) fn command(&mut self, command: Command) {
        self.effects.push(Effect::Link(command));
    }
}
