//! The place of a node in the tree: its leases, its parent and its children.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cicadagw_unit::time::Timestamp;
use cicadagw_wire::down::Path;
use cicadagw_wire::link::{self, Command, Session};
use cicadagw_wire::{Down, Hello, Member, Refusal};
use rand::seq::SliceRandom;

use crate::lease::Change;
use crate::{Core, Effect, Notice, election, links, uplink};

/// How many nodes of its failure domain a node asks in one round, besides the seeds.
const NEAR_CANDIDATES_MAX: usize = 8;

/// How many nodes of other failure domains a root asks in one round.
const FAR_CANDIDATES_MAX: usize = 2;

impl Core {
    pub(crate) fn look_at_leases(&mut self, now: Timestamp) {
        let lonely = self.uplink.orphaned(now).is_some();
        let outcome = self.election.tick(now, lonely);
        self.climb(now, outcome);
    }

    /// Closes the links of all children, who then look for another root.
    pub(crate) fn dismiss_children(&mut self) {
        for session in self.children.sessions() {
            self.children.remove(session);
            self.command(Command::Close { session });
        }
    }

    pub(crate) fn climb(&mut self, now: Timestamp, outcome: election::Outcome) {
        self.effects
            .extend(outcome.calls.into_iter().map(Effect::Platform));
        for (rank, change) in outcome.changes {
            self.effects.push(Effect::Log(match change {
                Change::Gained => Notice::LeaseAcquired(rank),
                Change::Lost => Notice::LeaseLost(rank),
            }));
            let superior = self.election.superior().map(|member| member.link);
            let outcome = self.uplink.rise(now, superior, &mut self.random);
            self.apply(now, outcome);
            self.send_path();
        }
    }

    pub(crate) fn look_at_uplink(&mut self, now: Timestamp) {
        // A root of all that the platform no longer confirms may have been followed by another one.
        let wanted = !self.is_apex() || !self.election.is_fresh(now);
        if !wanted && self.uplink.joined().is_some() {
            let outcome = self.uplink.rise(now, None, &mut self.random);
            self.apply(now, outcome);
        }
        let silence = self.settings.timing.peer_timeout();
        let outcome = self.uplink.tick(now, wanted, silence, &mut self.random);
        self.apply(now, outcome);
    }

    /// Carries out what the link to the parent needs.
    pub(crate) fn apply(&mut self, now: Timestamp, outcome: uplink::Outcome) {
        if outcome.refill {
            self.refill(now);
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
            self.reported = (Timestamp::default(), None);
            self.send_report(now);
        }
        if outcome.parted {
            self.election.look_at_once(now);
            self.stay_near();
            self.effects.push(Effect::Log(Notice::ParentLost(
                "the link is gone".to_owned(),
            )));
            self.send_path();
        }
    }

    /// Collects the nodes that can be asked to become the parent, the best first.
    pub(crate) fn refill(&mut self, now: Timestamp) {
        let superior = self.election.superior().map(|member| member.link);
        self.uplink.add_candidates(superior);
        if self.election.rank().is_some() {
            return self.add_far_candidates(now);
        }
        let nodes = self.registry.serving_nodes();
        let mut others: Vec<SocketAddr> = nodes.values().map(|record| record.link).collect();
        others.shuffle(&mut self.random);
        others.truncate(NEAR_CANDIDATES_MAX);
        let mut seeds = self.settings.seeds.to_vec();
        seeds.shuffle(&mut self.random);
        self.uplink.add_candidates(others.into_iter().chain(seeds));
    }

    /// Drops candidates of other failure domains, unless this node is a root.
    ///
    /// Below them it would be served, but nobody in its failure domain might look at the lease.
    fn stay_near(&mut self) {
        if self.election.rank().is_some() {
            return;
        }
        let nodes = self.registry.serving_nodes();
        let mut near: BTreeSet<SocketAddr> = nodes.values().map(|record| record.link).collect();
        near.extend(&self.settings.seeds);
        near.extend(self.election.superior().map(|member| member.link));
        self.uplink
            .retain_candidates(|address| near.contains(address));
    }

    /// Adds nodes of other failure domains, for a root that has found no superior for long.
    fn add_far_candidates(&mut self, now: Timestamp) {
        let patience = self.settings.timing.peer_timeout();
        let is_lost = self.uplink.orphaned(now) >= Some(patience);
        if !is_lost {
            return;
        }
        let mut far = self.registry.far_nodes();
        far.shuffle(&mut self.random);
        self.uplink
            .add_candidates(far.into_iter().take(FAR_CANDIDATES_MAX));
    }

    pub(crate) fn hello(&self) -> Hello {
        Hello {
            domain: self.identity.domain.clone(),
            endpoints: self.registry.digests().clone(),
            held: self.holder.stamp(),
            member: self.identity.member.clone(),
            region: self.identity.region.clone(),
        }
    }

    pub(crate) fn link(&mut self, now: Timestamp, event: link::Event) {
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

    pub(crate) fn uplink_event(
        &mut self,
        now: Timestamp,
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
    pub(crate) fn welcome(&mut self, now: Timestamp, session: Session, hello: &Hello) {
        if let Some(refusal) = self.refusal(now, hello) {
            return self.command(Command::Refuse { session, refusal });
        }
        if let Some(session) = self.children.add(now, session, hello) {
            self.command(Command::Close { session });
        }
        self.command(Command::Accept { session });
        self.holder.hear_of(hello.held.version);
        let digests = self.registry.digests().clone();
        self.down(vec![session], Down::Path(Box::new(self.path())));
        self.down(vec![session], Down::Heartbeat(self.holder.stamp()));
        let records = self.registry.difference(&hello.endpoints);
        // Also when they are equal: the child may have learned more since it dialled.
        self.down(vec![session], Down::Digests(digests));
        if !records.is_empty() {
            self.down(vec![session], Down::Endpoints(records));
        }
        self.bring_up(now);
    }

    /// Says why the node that sent `hello` cannot become a child, if it cannot.
    fn refusal(&mut self, now: Timestamp, hello: &Hello) -> Option<Refusal> {
        if self.is_above(&hello.member) {
            return Some(Refusal::Loop);
        }
        if self.should_be_below(hello) {
            self.uplink.prefer(hello.member.link);
            return Some(Refusal::Busy(links::BUSY_WAIT));
        }
        let domain = &self.identity.domain;
        let budget = &self.settings.budget;
        self.children
            .refusal(hello, domain, &self.holder, budget, now)
    }

    /// Tells whether `member` stands above this node, or will at once.
    fn is_above(&self, member: &Member) -> bool {
        let own = &self.identity.member.node;
        // Of two nodes that ask each other, the one with the lesser name takes the other.
        let ask_each_other = self.uplink.asks(member.link) && *own > member.node;
        let path = self.uplink.path();
        member.node == *own || ask_each_other || path.iter().any(|above| above.node == member.node)
    }

    /// Tells whether the node that sent `hello` had better be the parent, since it holds more and
    /// nobody else brings this one up.
    fn should_be_below(&self, hello: &Hello) -> bool {
        let is_alone = self.uplink.joined().is_none() && self.election.rank().is_none();
        is_alone && hello.held.version > self.holder.stamp().version
    }

    pub(crate) fn take_path(&mut self, now: Timestamp, path: Path) {
        let parent = path
            .last()
            .map(|member| member.node.to_string())
            .unwrap_or_default();
        if self.uplink.path().is_empty() {
            self.effects.push(Effect::Log(Notice::ParentJoined(parent)));
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

    /// Makes the holder of the next lease the first to be asked, once it is known.
    pub(crate) fn ask_superior(&mut self) {
        if self.uplink.joined().is_none()
            && let Some(superior) = self.election.superior()
        {
            self.uplink.prefer(superior.link);
        }
    }

    /// Returns the nodes from the root down to this one.
    pub(crate) fn path(&self) -> Path {
        let mut path = self.uplink.path().clone();
        path.push(self.identity.member.clone());
        path
    }

    pub(crate) fn send_path(&mut self) {
        let path = self.path();
        self.down(self.children.sessions(), Down::Path(Box::new(path)));
    }
}
