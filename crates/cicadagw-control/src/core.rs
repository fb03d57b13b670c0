//! The decisions of a node's control, joined.

use std::sync::Arc;

use cicadagw_config::Stamp;
use cicadagw_endpoint::State;
use cicadagw_finding::Findings;
use cicadagw_settings::Settings;
use cicadagw_unit::time::Timestamp;
use cicadagw_unit::{Version, id};
use cicadagw_view::Endpoints;
use cicadagw_wire::link::{Command, Session};
use cicadagw_wire::{Down, Report, Up};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::adopt::Holder;
use crate::census::Census;
use crate::charts::Charts;
use crate::election::Election;
use crate::endpoints::Registry;
use crate::fetch::Fetch;
use crate::links::Children;
use crate::platform::{self, Purpose};
use crate::uplink::Uplink;
use crate::{Dump, Effect, Event, Identity, Rank, directory, status};

/// The control of one node.
pub struct Core {
    pub(crate) settings: Settings,
    pub(crate) identity: Identity,
    pub(crate) random: SmallRng,
    pub(crate) holder: Holder,
    pub(crate) endpoints: Arc<Endpoints>,
    pub(crate) registry: Registry,
    pub(crate) election: Election,
    pub(crate) uplink: Uplink,
    pub(crate) children: Children,
    pub(crate) fetch: Fetch,
    pub(crate) census: Census,
    pub(crate) status: status::Writer,
    pub(crate) directory: directory::Writer,
    pub(crate) present: Vec<id::Node>,
    pub(crate) reported: (Timestamp, Option<Report>),
    pub(crate) beat: Timestamp,
    pub(crate) effects: Vec<Effect>,
}

impl Core {
    /// Creates the control of a node; `seed` is new for every life of the process.
    ///
    /// # Errors
    ///
    /// All findings of the embedded charts.
    pub fn new(settings: &Settings, seed: u64) -> Result<Self, Findings> {
        let charts = Charts::load()?;
        let identity = Identity::from(settings);
        Ok(Self {
            settings: settings.clone(),
            random: SmallRng::seed_from_u64(seed),
            holder: Holder::new(charts.adopt),
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
            reported: (Timestamp::default(), None),
            beat: Timestamp::default(),
            effects: Vec::new(),
            identity,
        })
    }

    /// Takes what happened, and returns what is to be done, in this order.
    pub fn step(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        match event {
            Event::Leave => self.leave(now),
            Event::Link(event) => self.link(now, event),
            Event::Local(local) => {
                let urgent = local.state != State::Ready;
                self.registry.tell(now, local);
                if urgent {
                    self.spread();
                }
            }
            Event::Platform(reply) => self.platform(now, reply),
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns the snapshot held, for readiness.
    pub fn held(&self) -> Option<Stamp> {
        self.holder.held().map(|held| held.stamp)
    }

    /// Returns the newest version heard of.
    pub fn highest_seen(&self) -> Version {
        self.holder.highest_seen()
    }

    /// Returns how many endpoints are in `state`.
    pub fn endpoint_count(&self, state: State) -> u64 {
        let records = self.registry.table().records();
        records.filter(|record| record.state == state).count() as u64
    }

    /// Returns the state of the control.
    pub fn dump(&self) -> Dump {
        Dump {
            children: self.children.members(),
            endpoints: self.registry.table().clone(),
            held: self.holder.stamp(),
            highest_seen: self.holder.highest_seen(),
            identity: self.identity.clone(),
            leases: self
                .election
                .states()
                .map(|(rank, state)| (rank, state.to_string()))
                .collect(),
            path: self.uplink.path().to_vec(),
            preset: self.holder.held().map(|held| held.preset.clone()),
            refused: self.holder.refusal().cloned(),
            report: self.report(),
            uplink: self.uplink.state().to_string(),
        }
    }

    fn tick(&mut self, now: Timestamp) {
        let timing = self.settings.timing.clone();
        self.look_at_leases(now);
        self.look_at_uplink(now);
        self.watch(now);
        for session in self.children.remove_silent(now, timing.peer_timeout()) {
            self.command(Command::Close { session });
        }
        self.registry.tick(now, timing.renewal.times(2));
        self.spread();
        self.answer_census();
        self.look_at_root_duties(now);
        self.send_signs_of_life(now);
    }

    /// Gives the leases back at once, so that nobody has to wait for them to lapse.
    fn leave(&mut self, now: Timestamp) {
        let was_root = self.election.rank().is_some();
        let outcome = self.election.leave(now);
        self.climb(now, outcome);
        if was_root {
            self.dismiss_children();
        }
    }

    /// Tells whether nothing stands above this node.
    pub(crate) fn is_apex(&self) -> bool {
        self.election.rank() == Some(Rank::Fleet)
    }

    fn platform(&mut self, now: Timestamp, reply: platform::Reply) {
        match reply.purpose {
            Purpose::Lease(rank) => {
                let outcome = self.election.reply(now, rank, reply.outcome);
                self.climb(now, outcome);
                self.ask_superior();
            }
            Purpose::Head => {
                let outcome = self.fetch.head(now, reply.outcome, &self.holder);
                self.fetched(now, outcome);
            }
            Purpose::Part(index) => {
                let outcome = self.fetch.part(now, index, reply.outcome, &self.holder);
                self.fetched(now, outcome);
            }
            Purpose::Status => self.status.reply(reply.outcome.is_ok()),
            Purpose::Directory => self.directory.reply(reply.outcome.is_ok()),
        }
    }

    pub(crate) fn up(&mut self, message: Up) {
        if let Some(session) = self.uplink.joined() {
            self.command(Command::Up {
                session,
                message: Box::new(message),
            });
        }
    }

    pub(crate) fn down(&mut self, sessions: Vec<Session>, message: Down) {
        if !sessions.is_empty() {
            self.command(Command::Down {
                sessions,
                message: Arc::new(message),
            });
        }
    }

    pub(crate) fn command(&mut self, command: Command) {
        self.effects.push(Effect::Link(command));
    }
}
