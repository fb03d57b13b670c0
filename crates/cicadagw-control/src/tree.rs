//! The position of a node in the tree: its leases, its parent and its children.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cicadagw_unit::time::Timestamp;
use cicadagw_wire::down::Path;
use cicadagw_wire::link::{self, Command, LinkId};
use cicadagw_wire::{Down, Hello, Member, Refusal};
use rand::seq::SliceRandom;

use crate::lease::Change;
use crate::{Core, Effect, Notice, children, election, uplink};

/// How many nodes of its failure domain a node dials in one round, in addition to the seeds.
const DOMAIN_CANDIDATES_MAX: usize = 8;

/// How many nodes of other failure domains a root dials in one round.
const REMOTE_CANDIDATES_MAX: usize = 2;

impl Core {
    /// Advances the leases; the node competes for the one of its failure domain while it has no
    /// parent.
    pub(crate) fn tick_leases(&mut self, now: Timestamp) {
        let is_orphan = self.uplink.orphan_time(now).is_some();
        let outcome = self.election.tick(now, is_orphan);
        self.apply_election(now, outcome);
    }

    /// Closes the links of all children, so that they look for another parent.
    pub(crate) fn close_children(&mut self) {
        for session in self.children.sessions() {
            self.children.remove(session);
            self.command(Command::Close { session });
        }
    }

    /// Carries out the result of a step of the election.
    pub(crate) fn apply_election(&mut self, now: Timestamp, outcome: election::Outcome) {
        self.effects
            .extend(outcome.calls.into_iter().map(Effect::Platform));
        for (scope, change) in outcome.changes {
            self.effects.push(Effect::Log(match change {
                Change::Acquired => Notice::LeaseAcquired(scope),
                Change::Lost => Notice::LeaseLost(scope),
            }));
            let next_root = self.election.next_root().map(|member| member.link);
            let outcome = self.uplink.change_role(now, next_root, &mut self.rng);
            self.apply_uplink(now, outcome);
            self.send_path();
        }
    }

    /// Advances the link to the parent; a root of the fleet that the platform confirms leaves its
    /// parent.
    pub(crate) fn tick_uplink(&mut self, now: Timestamp) {
        // A fleet root that the platform no longer confirms may have been replaced by another one.
        let wanted = !self.is_fleet_root() || !self.election.is_confirmed(now);
        if !wanted && self.uplink.joined().is_some() {
            let outcome = self.uplink.change_role(now, None, &mut self.rng);
            self.apply_uplink(now, outcome);
        }
        let peer_timeout = self.settings.timing.peer_timeout();
        let outcome = self.uplink.tick(now, wanted, peer_timeout, &mut self.rng);
        self.apply_uplink(now, outcome);
    }

    /// Carries out the result of a step of the uplink.
    pub(crate) fn apply_uplink(&mut self, now: Timestamp, outcome: uplink::Outcome) {
        if outcome.collect_candidates {
            self.collect_candidates(now);
        }
        if let Some(session) = outcome.close {
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
            self.last_report = (Timestamp::default(), None);
            self.send_report(now);
        }
        if outcome.left_parent {
            self.election.read_now(now);
            self.drop_remote_candidates();
            self.effects
                .push(Effect::Log(Notice::ParentLost("link closed".to_owned())));
            self.send_path();
        }
    }

    /// Adds the nodes that may become the parent to the candidates, the best first.
    pub(crate) fn collect_candidates(&mut self, now: Timestamp) {
        let next_root = self.election.next_root().map(|member| member.link);
        self.uplink.add_candidates(next_root);
        if self.election.scope().is_some() {
            return self.add_remote_candidates(now);
        }
        let nodes = self.registry.serving_nodes();
        let mut others: Vec<SocketAddr> = nodes.values().map(|record| record.link).collect();
        others.shuffle(&mut self.rng);
        others.truncate(DOMAIN_CANDIDATES_MAX);
        let mut seeds = self.settings.seeds.to_vec();
        seeds.shuffle(&mut self.rng);
        self.uplink.add_candidates(others.into_iter().chain(seeds));
    }

    /// Removes candidates of other failure domains, unless this node is a root.
    ///
    /// Such a parent could serve this node, but then possibly no node of its failure domain would
    /// read the lease and become the root.
    fn drop_remote_candidates(&mut self) {
        if self.election.scope().is_some() {
            return;
        }
        let nodes = self.registry.serving_nodes();
        let mut local: BTreeSet<SocketAddr> = nodes.values().map(|record| record.link).collect();
        local.extend(&self.settings.seeds);
        local.extend(self.election.next_root().map(|member| member.link));
        self.uplink
            .retain_candidates(|address| local.contains(address));
    }

    /// Adds nodes of other failure domains for a root that has found no parent for a while.
    fn add_remote_candidates(&mut self, now: Timestamp) {
        let delay = self.settings.timing.peer_timeout();
        let is_overdue = self.uplink.orphan_time(now) >= Some(delay);
        if !is_overdue {
            return;
        }
        let mut remote = self.registry.remote_nodes();
        remote.shuffle(&mut self.rng);
        self.uplink
            .add_candidates(remote.into_iter().take(REMOTE_CANDIDATES_MAX));
    }

    /// Returns the request to join that is sent to a candidate.
    pub(crate) fn hello(&self) -> Hello {
        Hello {
            domain: self.identity.domain.clone(),
            endpoints: self.registry.digests().clone(),
            held: self.snapshots.stamp(),
            member: self.identity.member.clone(),
            region: self.identity.region.clone(),
        }
    }

    /// Processes an event of a link.
    pub(crate) fn handle_link(&mut self, now: Timestamp, event: link::Event) {
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
            link::Event::JoinRequested { session, hello } => self.admit(now, session, &hello),
            link::Event::Down { session, message } => {
                if self.uplink.joined() == Some(session) {
                    self.uplink.record_activity(now);
                    self.receive_down(now, session, *message);
                }
            }
            link::Event::Up { session, message } => {
                if let Some(child) = self.children.get_mut(session) {
                    child.record_activity(now);
                    self.receive_up(now, session, *message);
                }
            }
        }
    }

    /// Processes an event of the link that this node dialed last; ignores other links, but closes
    /// one that opened too late.
    pub(crate) fn uplink_event(
        &mut self,
        now: Timestamp,
        session: LinkId,
        event: uplink::Event,
        refusal: Option<&Refusal>,
    ) {
        if self.uplink.is_current(session) {
            let outcome = self.uplink.step(now, event, refusal, &mut self.rng);
            self.apply_uplink(now, outcome);
        } else if event == uplink::Event::Opened {
            self.command(Command::Close { session });
        }
    }

    /// Accepts or refuses a node that requests to join. An accepted child is sent the path, a
    /// heartbeat, the digests, and the records and snapshot that it lacks.
    pub(crate) fn admit(&mut self, now: Timestamp, session: LinkId, hello: &Hello) {
        if let Some(refusal) = self.refusal(now, hello) {
            return self.command(Command::Refuse { session, refusal });
        }
        if let Some(session) = self.children.add(now, session, hello) {
            self.command(Command::Close { session });
        }
        self.command(Command::Accept { session });
        self.snapshots.observe_version(hello.held.version);
        let digests = self.registry.digests().clone();
        self.send_down(vec![session], Down::Path(Box::new(self.path())));
        self.send_down(vec![session], Down::Heartbeat(self.snapshots.stamp()));
        let records = self.registry.difference(&hello.endpoints);
        // Sent even if the digests are equal: the child may have learned more since it dialed.
        self.send_down(vec![session], Down::Digests(digests));
        if !records.is_empty() {
            self.send_down(vec![session], Down::Endpoints(records));
        }
        self.sync_children(now);
    }

    /// Returns why the node that sent `hello` cannot become a child, if it cannot.
    fn refusal(&mut self, now: Timestamp, hello: &Hello) -> Option<Refusal> {
        if self.is_ancestor(&hello.member) {
            return Some(Refusal::Loop);
        }
        if self.should_join(hello) {
            self.uplink.prefer(hello.member.link);
            return Some(Refusal::Busy(children::BUSY_RETRY_WAIT));
        }
        let domain = &self.identity.domain;
        let budget = &self.settings.budget;
        self.children
            .refusal(hello, domain, &self.snapshots, budget, now)
    }

    /// Returns whether `member` is an ancestor of this node, or is about to become one.
    fn is_ancestor(&self, member: &Member) -> bool {
        let own = &self.identity.member.node;
        // Of two nodes that dial each other, the one with the lesser name accepts the other.
        let dial_each_other = self.uplink.is_dialing(member.link) && *own > member.node;
        let path = self.uplink.path();
        member.node == *own || dial_each_other || path.iter().any(|above| above.node == member.node)
    }

    /// Returns whether the node that sent `hello` should become the parent instead: it has a newer
    /// version, and this node has no other source of it.
    fn should_join(&self, hello: &Hello) -> bool {
        let is_alone = self.uplink.joined().is_none() && self.election.scope().is_none();
        is_alone && hello.held.version > self.snapshots.stamp().version
    }

    /// Stores the path to the parent and sends the path to the children; leaves the parent if the
    /// path is a loop.
    pub(crate) fn update_path(&mut self, now: Timestamp, path: Path) {
        let parent = path
            .last()
            .map(|member| member.node.to_string())
            .unwrap_or_default();
        if self.uplink.path().is_empty() {
            self.effects.push(Effect::Log(Notice::JoinedParent(parent)));
        }
        if self.uplink.set_path(path, &self.identity.member.node) {
            self.send_path();
        } else {
            let outcome = self
                .uplink
                .step(now, uplink::Event::Loop, None, &mut self.rng);
            self.apply_uplink(now, outcome);
        }
    }

    /// Makes the holder of the next lease the first candidate, once it is known.
    pub(crate) fn prefer_next_root(&mut self) {
        if self.uplink.joined().is_none()
            && let Some(next_root) = self.election.next_root()
        {
            self.uplink.prefer(next_root.link);
        }
    }

    /// Returns the nodes from the root down to this one.
    pub(crate) fn path(&self) -> Path {
        let mut path = self.uplink.path().clone();
        path.push(self.identity.member.clone());
        path
    }

    /// Sends the children the path down to this node.
    pub(crate) fn send_path(&mut self) {
        let path = self.path();
        self.send_down(self.children.sessions(), Down::Path(Box::new(path)));
    }
}
