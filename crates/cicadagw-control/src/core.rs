//! The decisions of a node's control, joined.

use std::net::SocketAddr;
use std::sync::Arc;

use cicadagw_config::{Snapshot, Stamp};
use cicadagw_endpoint::State;
use cicadagw_finding::Findings;
use cicadagw_platform::Key;
use cicadagw_settings::Settings;
use cicadagw_unit::time::{Moment, Span};
use cicadagw_unit::{Version, id};
use cicadagw_view::{Endpoints, View};
use cicadagw_wire::down::Path;
use cicadagw_wire::link::{self, Command, Session};
use cicadagw_wire::{Directory, Down, Hello, Member, Refusal, Report, Up};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use crate::adopt::{Holder, Verdict};
use crate::charts::Charts;
use crate::endpoints::{Registry, Source};
use crate::fetch::{self, Fetch};
use crate::ladder::{self, Ladder};
use crate::lease::Change;
use crate::links::Children;
use crate::platform::{self, Purpose};
use crate::roll::{self, Roll};
use crate::status::{self, Writer};
use crate::uplink::{self, Uplink};
use crate::{Dump, Effect, Event, Identity, Note, Rank};

/// The least time between two reports to the parent that are not heartbeats.
const REPORT_GAP: Span = Span::new(200);

/// The least time between two writes of the directory.
const DIRECTORY_GAP: Span = Span::seconds(5);

/// The control of one node.
pub struct Core {
    settings: Settings,
    identity: Identity,
    random: SmallRng,
    holder: Holder,
    endpoints: Arc<Endpoints>,
    registry: Registry,
    ladder: Ladder,
    uplink: Uplink,
    children: Children,
    fetch: Fetch,
    roll: Roll,
    status: Writer,
    directory: (Moment, Vec<Member>),
    present: Vec<id::Node>,
    reported: (Moment, Option<Report>),
    beat: Moment,
    effects: Vec<Effect>,
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
            ladder: Ladder::new(&charts.lease, &identity, seed, settings.timing.lease),
            uplink: Uplink::new(charts.uplink, identity.member.link),
            children: Children::default(),
            fetch: Fetch::default(),
            roll: Roll::default(),
            status: Writer::default(),
            directory: (Moment::default(), Vec::new()),
            present: Vec::new(),
            reported: (Moment::default(), None),
            beat: Moment::default(),
            effects: Vec::new(),
            identity,
        })
    }

    /// Takes what happened, and returns what is to be done, in this order.
    pub fn step(&mut self, now: Moment, event: Event) -> Vec<Effect> {
        match event {
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
    pub fn endpoints_in(&self, state: State) -> u64 {
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
                .ladder
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

    fn tick(&mut self, now: Moment) {
        let timing = self.settings.timing.clone();
        self.look_at_leases(now);
        self.look_at_uplink(now);
        self.watch(now);
        for session in self.children.remove_silent(now, timing.silence()) {
            self.command(Command::Close { session });
        }
        self.registry.tick(now, timing.renewal.times(2));
        self.spread();
        self.answer_roll_call();
        self.look_at_root_duties(now);
        self.send_signs_of_life(now);
    }

    /// Tells whether nothing stands above this node.
    fn is_apex(&self) -> bool {
        self.ladder.rank() == Some(Rank::Fleet)
    }

    fn look_at_leases(&mut self, now: Moment) {
        let lonely = self.uplink.orphaned(now).is_some();
        let outcome = self.ladder.tick(now, lonely);
        self.climb(now, outcome);
    }

    fn climb(&mut self, now: Moment, outcome: ladder::Outcome) {
        self.effects
            .extend(outcome.calls.into_iter().map(Effect::Platform));
        for (rank, change) in outcome.changes {
            self.effects.push(Effect::Note(match change {
                Change::Gained => Note::Gained(rank),
                Change::Lost => Note::Lost(rank),
            }));
            let superior = self.ladder.superior().map(|member| member.link);
            let outcome = self.uplink.rise(now, superior, &mut self.random);
            self.apply(now, outcome);
            self.send_path();
        }
    }

    fn look_at_uplink(&mut self, now: Moment) {
        let wanted = !self.is_apex();
        let silence = self.settings.timing.silence();
        let outcome = self.uplink.tick(now, wanted, silence, &mut self.random);
        self.apply(now, outcome);
    }

    /// Carries out what the link to the parent needs.
    fn apply(&mut self, now: Moment, outcome: uplink::Outcome) {
        if outcome.refill {
            self.refill();
        }
        if let Some(session) = outcome.hang_up {
            self.command(Command::Close { session });
        }
        if let Some((session, address)) = outcome.dial {
            let hello = Box::new(self.hello());
            self.command(Command::Dial {
                session,
                address,
                hello,
            });
        }
        if outcome.joined {
            self.reported = (Moment::default(), None);
            self.send_report(now);
        }
        if outcome.parted {
            self.effects
                .push(Effect::Note(Note::Parted("the link is gone".to_owned())));
            self.send_path();
        }
    }

    /// Collects the nodes that can be asked to become the parent, the best first.
    fn refill(&mut self) {
        let superior = self.ladder.superior().map(|member| member.link);
        self.uplink.add_candidates(superior);
        if self.ladder.rank().is_some() {
            return;
        }
        let nodes = self.registry.serving_nodes();
        let mut others: Vec<SocketAddr> = nodes.values().map(|record| record.link).collect();
        others.shuffle(&mut self.random);
        let mut seeds = self.settings.seeds.to_vec();
        seeds.shuffle(&mut self.random);
        self.uplink.add_candidates(others.into_iter().chain(seeds));
    }

    fn hello(&self) -> Hello {
        Hello {
            domain: self.identity.domain.clone(),
            endpoints: self.registry.digests(),
            held: self.holder.stamp(),
            member: self.identity.member.clone(),
            region: self.identity.region.clone(),
        }
    }

    fn link(&mut self, now: Moment, event: link::Event) {
        match event {
            link::Event::Opened { session } => {
                self.uplink_event(now, session, uplink::Event::Opened, None);
            }
            link::Event::Refused { session, refusal } => {
                let event = match refusal {
                    Refusal::Full(_) => uplink::Event::Full,
                    Refusal::Busy(_) => uplink::Event::Busy,
                    Refusal::Loop => uplink::Event::Loop,
                };
                self.uplink_event(now, session, event, Some(&refusal));
            }
            link::Event::Closed { session, .. } => {
                self.children.remove(session);
                self.uplink_event(now, session, uplink::Event::Closed, None);
            }
            link::Event::Joining { session, hello } => self.welcome(now, session, &hello),
            link::Event::Down { session, message } => {
                if self.uplink.joined() == Some(session) {
                    self.uplink.hear(now);
                    self.take_down(now, session, *message);
                }
            }
            link::Event::Up { session, message } => {
                if let Some(child) = self.children.get_mut(session) {
                    child.hear(now);
                    self.take_up(now, session, *message);
                }
            }
        }
    }

    fn uplink_event(
        &mut self,
        now: Moment,
        session: Session,
        event: uplink::Event,
        refusal: Option<&Refusal>,
    ) {
        if self.uplink.is(session) {
            let outcome = self.uplink.take(now, event, refusal, &mut self.random);
            self.apply(now, outcome);
        } else if event == uplink::Event::Opened {
            self.command(Command::Close { session });
        }
    }

    /// Takes or refuses a child, and brings it up to what this node knows.
    fn welcome(&mut self, now: Moment, session: Session, hello: &Hello) {
        let above = |member: &Member| member.node == hello.member.node;
        let refusal = if above(&self.identity.member) || self.uplink.path().iter().any(above) {
            Some(Refusal::Loop)
        } else {
            let domain = &self.identity.domain;
            self.children
                .refusal(hello, domain, &self.holder, &self.settings.budget)
        };
        if let Some(refusal) = refusal {
            return self.command(Command::Refuse { session, refusal });
        }
        if let Some(session) = self.children.add(now, session, hello) {
            self.command(Command::Close { session });
        }
        self.command(Command::Accept { session });
        self.holder.hear_of(hello.held.version);
        let digests = self.registry.digests();
        self.down(vec![session], Down::Path(Box::new(self.path())));
        self.down(vec![session], Down::Beat(self.holder.stamp()));
        if digests != hello.endpoints {
            let records = self.registry.difference(&hello.endpoints);
            self.down(vec![session], Down::Digests(digests));
            if !records.is_empty() {
                self.down(vec![session], Down::Endpoints(records));
            }
        }
        self.bring_up();
    }

    fn take_down(&mut self, now: Moment, session: Session, message: Down) {
        match message {
            Down::Beat(stamp) => self.holder.hear_of(stamp.version),
            Down::Path(path) => self.take_path(now, *path),
            Down::Digests(theirs) => {
                let records = self.registry.difference(&theirs);
                if !records.is_empty() {
                    self.up(Up::Endpoints(records));
                }
            }
            Down::Endpoints(records) => self.registry.learn(now, Source::Link(session), records),
            Down::RollCall => {
                self.present.push(self.identity.member.node.clone());
                self.call_roll();
            }
            Down::Whole(snapshot) => self.offer(now, *snapshot),
            Down::Delta(delta) => {
                let Some(held) = self.holder.held().filter(|held| held.stamp == delta.from) else {
                    return self.up(Up::WantWhole);
                };
                let version = delta.to.version;
                match delta.apply(held) {
                    Ok(snapshot) => self.offer(now, snapshot),
                    Err(error) => {
                        self.refuse(version, error.to_string());
                        self.up(Up::WantWhole);
                    }
                }
            }
        }
    }

    fn take_path(&mut self, now: Moment, path: Path) {
        let parent = path
            .last()
            .map(|member| member.node.to_string())
            .unwrap_or_default();
        if self.uplink.path().is_empty() {
            self.effects.push(Effect::Note(Note::Joined(parent)));
        }
        if self.uplink.set_path(path, &self.identity.member.node) {
            self.send_path();
        } else {
            let outcome = self
                .uplink
                .take(now, uplink::Event::Loop, None, &mut self.random);
            self.apply(now, outcome);
        }
    }

    fn take_up(&mut self, now: Moment, session: Session, message: Up) {
        match message {
            Up::Endpoints(records) => self.registry.learn(now, Source::Link(session), records),
            Up::Present(nodes) => self.present.extend(nodes),
            Up::Report(report) => {
                if let Some(child) = self.children.get_mut(session) {
                    child.report = Some(*report);
                }
            }
            Up::WantWhole => {
                if let Some(child) = self.children.get_mut(session) {
                    child.held = Stamp::default();
                }
                self.bring_up();
            }
        }
    }

    fn platform(&mut self, now: Moment, reply: platform::Reply) {
        match reply.purpose {
            Purpose::Lease(rank) => {
                let outcome = self.ladder.reply(now, rank, reply.outcome);
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
            Purpose::Directory => {
                if reply.outcome.is_err() {
                    self.directory.1.clear();
                }
            }
        }
    }

    /// Makes the holder of the next lease the first to be asked, once it is known.
    fn ask_superior(&mut self) {
        if self.uplink.joined().is_none()
            && let Some(superior) = self.ladder.superior()
        {
            self.uplink.prefer(superior.link);
        }
    }

    fn fetched(&mut self, now: Moment, outcome: fetch::Outcome) {
        match outcome {
            fetch::Outcome::Nothing => {}
            fetch::Outcome::Calls(calls) => {
                self.effects.extend(calls.into_iter().map(Effect::Platform));
            }
            fetch::Outcome::Offer(snapshot) => self.offer(now, *snapshot),
            fetch::Outcome::Refused(version, reason) => self.refuse(version, reason),
        }
        self.watch(now);
    }

    /// Watches the platform while nothing stands above this node, or nothing was found for long.
    fn watch(&mut self, now: Moment) {
        let patience = self.settings.timing.silence();
        let orphaned = self.uplink.orphaned(now);
        let alone = orphaned.is_some_and(|span| self.is_apex() || span >= patience);
        let call = self.fetch.tick(now, alone);
        self.effects.extend(call.map(Effect::Platform));
    }

    fn offer(&mut self, now: Moment, snapshot: Snapshot) {
        let version = snapshot.stamp.version;
        match self.holder.offer(snapshot) {
            Verdict::Adopted => {
                self.effects.push(Effect::Note(Note::Adopted(version)));
                self.publish();
                self.bring_up();
                self.send_report(now);
            }
            Verdict::Refused(reason) => self
                .effects
                .push(Effect::Note(Note::Refused(version, reason))),
            Verdict::Ignored => {}
        }
    }

    fn refuse(&mut self, version: Version, reason: String) {
        self.effects
            .push(Effect::Note(Note::Refused(version, reason.clone())));
        self.holder.refuse(version, reason);
    }

    fn bring_up(&mut self) {
        let commands = self.children.bring_up(&self.holder);
        self.effects.extend(commands.into_iter().map(Effect::Link));
    }

    fn publish(&mut self) {
        let view = View {
            snapshot: self.holder.held().cloned(),
            endpoints: Arc::clone(&self.endpoints),
        };
        self.effects.push(Effect::Publish(view));
    }

    fn spread(&mut self) {
        let commands = self
            .registry
            .spread(&self.children.sessions(), self.uplink.joined());
        self.effects.extend(commands.into_iter().map(Effect::Link));
        if let Some(endpoints) = self.registry.take_changed() {
            self.endpoints = endpoints;
            self.publish();
        }
    }

    /// Passes on which nodes answered a roll call.
    fn answer_roll_call(&mut self) {
        let present = std::mem::take(&mut self.present);
        if present.is_empty() {
            return;
        }
        if self.ladder.rank().is_some() {
            self.roll.answer(present);
        } else {
            self.up(Up::Present(present));
        }
    }

    fn call_roll(&mut self) {
        let sessions = self.children.sessions_in(&self.identity.domain);
        self.down(sessions, Down::RollCall);
    }

    /// Does what falls to the root of a failure domain.
    fn look_at_root_duties(&mut self, now: Moment) {
        if self.ladder.rank().is_none() {
            self.roll.reset();
            return;
        }
        let report = self.report();
        let recorded = self.registry.serving_nodes().len();
        let reported = usize::try_from(report.serving).unwrap_or(usize::MAX);
        match self.roll.tick(now, recorded, reported) {
            roll::Outcome::Nothing => {}
            roll::Outcome::Call => self.call_roll(),
            roll::Outcome::Present(present) => self.bury_absent(now, &present),
        }
        let period = self.settings.timing.status;
        let write = self
            .status
            .tick(now, &self.identity, &self.holder, &report, period);
        self.effects.extend(write.map(Effect::Platform));
        self.write_directory(now);
    }

    fn bury_absent(&mut self, now: Moment, present: &std::collections::BTreeSet<id::Node>) {
        let own = &self.identity.member.node;
        let absent: Vec<_> = self
            .registry
            .serving_nodes()
            .into_keys()
            .filter(|node| node != own && !present.contains(node))
            .collect();
        for node in absent {
            self.registry.bury(now, &node);
        }
    }

    fn write_directory(&mut self, now: Moment) {
        let mut members: Vec<Member> = self
            .registry
            .serving_nodes()
            .into_values()
            .map(|record| Member {
                link: record.link,
                node: record.node.clone(),
                rack: record.rack.clone(),
            })
            .collect();
        if members
            .iter()
            .all(|member| member.node != self.identity.member.node)
        {
            members.push(self.identity.member.clone());
        }
        let (at, written) = &self.directory;
        if members == *written || (!written.is_empty() && now.since(*at) < DIRECTORY_GAP) {
            return;
        }
        self.directory = (now, members.clone());
        let directory = Directory {
            domain: self.identity.domain.clone(),
            members,
            region: self.identity.region.clone(),
        };
        let key = Key::directory(&self.identity.domain);
        let call = status::write(Purpose::Directory, key, &directory);
        self.effects.push(Effect::Platform(call));
    }

    fn report(&self) -> Report {
        status::report(
            &self.identity,
            &self.holder,
            self.registry.is_serving(),
            &self.children,
        )
    }

    fn send_signs_of_life(&mut self, now: Moment) {
        let period = self.settings.timing.heartbeat;
        if now.since(self.beat) >= period {
            // Beats of nodes that were started together fall apart by and by.
            let early = self.random.random_range(0..=period.get() / 8);
            self.beat = Moment::new(now.get().saturating_sub(early));
            self.down(self.children.sessions(), Down::Beat(self.holder.stamp()));
        }
        let (at, last) = &self.reported;
        let since = now.since(*at);
        let changed = since >= REPORT_GAP && last.as_ref() != Some(&self.report());
        if changed || since >= period {
            self.send_report(now);
        }
    }

    fn send_report(&mut self, now: Moment) {
        let report = self.report();
        self.reported = (now, Some(report.clone()));
        self.up(Up::Report(Box::new(report)));
    }

    /// Returns the nodes from the root down to this one.
    fn path(&self) -> Path {
        let mut path = self.uplink.path().clone();
        path.push(self.identity.member.clone());
        path
    }

    fn send_path(&mut self) {
        let path = self.path();
        self.down(self.children.sessions(), Down::Path(Box::new(path)));
    }

    fn up(&mut self, message: Up) {
        if let Some(session) = self.uplink.joined() {
            self.command(Command::Up {
                session,
                message: Box::new(message),
            });
        }
    }

    fn down(&mut self, sessions: Vec<Session>, message: Down) {
        if !sessions.is_empty() {
            self.command(Command::Down {
                sessions,
                message: Arc::new(message),
            });
        }
    }

    fn command(&mut self, command: Command) {
        self.effects.push(Effect::Link(command));
    }
}
