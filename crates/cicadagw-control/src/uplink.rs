//! The link of a node to its parent, and the search for one.

use std::collections::VecDeque;
use std::net::SocketAddr;

use cicadagw_chart::names;
use cicadagw_unit::id;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_wire::down::Path;
use cicadagw_wire::link::LinkId;
use cicadagw_wire::{Member, Refusal};
use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

names! {
    /// State of the link to the parent.
    pub enum State {
        /// There is no parent, and none is being dialed.
        Orphan = "orphan",
        /// A candidate is being dialed.
        Dialing = "dialing",
        /// The node has a parent.
        Joined = "joined",
    }
}
names! {
    /// An event of the chart.
    pub enum Event {
        /// The next attempt to find a parent is due.
        Due = "due",
        /// The candidate accepted this node as a child.
        Opened = "opened",
        /// The candidate has no room for another child.
        Full = "full",
        /// The candidate asked to be dialed again later.
        Busy = "busy",
        /// The parent or candidate is a descendant of this node, so that the link would close a
        /// loop in the tree.
        Loop = "loop",
        /// The link was closed, or the dial failed.
        Closed = "closed",
        /// The parent or candidate has sent nothing for too long.
        TimedOut = "timed-out",
        /// The node became or ceased to be a root, so it needs another parent or none.
        RoleChanged = "role-changed",
    }
}
names! {
    /// A condition on the search.
    pub enum Guard {
        /// There is a candidate left to dial.
        HasCandidate = "has-candidate",
    }
}
names! {
    /// An action of the chart.
    pub enum Action {
        /// Dial the next candidate.
        Dial = "dial",
        /// Collect new candidates.
        CollectCandidates = "collect-candidates",
        /// Wait before the next attempt, longer each time.
        Wait = "wait",
        /// Wait as long as the busy candidate requested, and dial it again.
        WaitRequested = "wait-requested",
        /// Add the children of the full candidate as the next candidates.
        TryChildren = "try-children",
        /// Replace the candidates by the ancestors of the lost parent, nearest first.
        TryAncestors = "try-ancestors",
        /// Act as a child of the parent.
        Join = "join",
        /// Stop acting as a child of the parent, and forget the path to it.
        LeaveParent = "leave-parent",
        /// Close the link.
        Close = "close",
    }
}

/// The chart of [`Uplink`].
pub(crate) type Chart = cicadagw_chart::Chart<State, Event, Guard, Action>;

/// Wait before the second attempt to find a parent; doubled for each further one.
const BACKOFF_MIN: Span = Span::new(100);

/// Maximum wait before another attempt.
const BACKOFF_MAX: Span = Span::new(4_000);

/// The link to the parent, and the candidates for a new parent.
#[derive(Clone, Debug)]
pub(crate) struct Uplink {
    chart: Chart,
    state: State,
    /// Link address of this node, which is never a candidate.
    own: SocketAddr,
    /// The current link or dial; the last one while there is none.
    session: LinkId,
    /// Link addresses of the nodes to dial, the best first.
    candidates: VecDeque<SocketAddr>,
    /// The candidate that was dialed last.
    last_dialed: Option<SocketAddr>,
    /// The nodes from the root down to the parent; empty without a parent.
    path: Path,
    /// When a message last arrived over the link, or when it was dialed or opened.
    last_heard: Timestamp,
    /// When the node last lost or left a parent; zero before its first one.
    orphan_since: Timestamp,
    /// Earliest time of the next dial.
    next: Timestamp,
    backoff: Span,
}

/// The result of a step of the uplink.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Outcome {
    /// Dial this address; the link gets this id.
    pub(crate) dial: Option<(LinkId, SocketAddr)>,
    /// Close this link.
    pub(crate) close: Option<LinkId>,
    /// The node now has a parent.
    pub(crate) joined: bool,
    /// The node has lost or left its parent.
    pub(crate) left_parent: bool,
    /// There are no candidates left; new ones are needed.
    pub(crate) collect_candidates: bool,
}

impl Uplink {
    pub(crate) fn new(chart: Chart, own: SocketAddr) -> Self {
        Self {
            state: chart.initial(),
            chart,
            own,
            session: LinkId::default(),
            candidates: VecDeque::new(),
            last_dialed: None,
            path: Path::new(),
            last_heard: Timestamp::default(),
            orphan_since: Timestamp::default(),
            next: Timestamp::default(),
            backoff: BACKOFF_MIN,
        }
    }

    /// Returns the current state of the chart.
    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// Returns the link to the parent, if there is one.
    pub(crate) fn joined(&self) -> Option<LinkId> {
        (self.state == State::Joined).then_some(self.session)
    }

    /// Returns whether `session` is the current link or dial.
    pub(crate) fn is_current(&self, session: LinkId) -> bool {
        self.state != State::Orphan && self.session == session
    }

    /// Returns whether the node at `address` is being dialed.
    pub(crate) fn is_dialing(&self, address: SocketAddr) -> bool {
        self.state == State::Dialing && self.last_dialed == Some(address)
    }

    /// Returns the nodes from the root down to the parent; empty without a parent.
    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    /// Returns how long the node has been without a parent; `None` with one.
    pub(crate) fn orphan_time(&self, now: Timestamp) -> Option<Span> {
        (self.state != State::Joined).then(|| now.since(self.orphan_since))
    }

    /// Records that a message arrived from the parent.
    pub(crate) fn record_activity(&mut self, now: Timestamp) {
        self.last_heard = now;
    }

    /// Stores the path from the root down to the parent; returns false if this node is on it, which
    /// is a loop.
    pub(crate) fn set_path(&mut self, path: Path, own: &id::Node) -> bool {
        let is_loop_free = path.iter().all(|member| member.node != *own);
        self.path = path;
        is_loop_free
    }

    /// Appends candidates, the best first.
    pub(crate) fn add_candidates(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            if address != self.own && !self.candidates.contains(&address) {
                self.candidates.push_back(address);
            }
        }
    }

    /// Removes the candidates for which `is_kept` returns false.
    pub(crate) fn retain_candidates(&mut self, is_kept: impl Fn(&SocketAddr) -> bool) {
        self.candidates.retain(is_kept);
    }

    /// Makes `address` the first candidate.
    pub(crate) fn prefer(&mut self, address: SocketAddr) {
        self.candidates.retain(|candidate| *candidate != address);
        if address != self.own {
            self.candidates.push_front(address);
        }
    }

    /// Restarts the search after the node became or ceased to be a root, with `next_root` as the
    /// only candidate, if there is one.
    pub(crate) fn change_role(
        &mut self,
        now: Timestamp,
        next_root: Option<SocketAddr>,
        rng: &mut SmallRng,
    ) -> Outcome {
        self.candidates.clear();
        self.add_candidates(next_root);
        self.next = now;
        self.step(now, Event::RoleChanged, None, rng)
    }

    /// Dials the next candidate when it is due, and detects a silent parent or candidate.
    pub(crate) fn tick(
        &mut self,
        now: Timestamp,
        wanted: bool,
        peer_timeout: Span,
        rng: &mut SmallRng,
    ) -> Outcome {
        match self.state {
            State::Orphan if wanted && now >= self.next => self.step(now, Event::Due, None, rng),
            State::Dialing | State::Joined if now.since(self.last_heard) > peer_timeout => {
                self.step(now, Event::TimedOut, None, rng)
            }
            _ => Outcome::default(),
        }
    }

    /// Processes an event of the chart.
    pub(crate) fn step(
        &mut self,
        now: Timestamp,
        event: Event,
        refusal: Option<&Refusal>,
        rng: &mut SmallRng,
    ) -> Outcome {
        let has_candidate = !self.candidates.is_empty();
        let step = self
            .chart
            .step(self.state, event, |Guard::HasCandidate| has_candidate);
        self.state = step.to;
        let actions = step.actions.to_vec();
        let mut outcome = Outcome::default();
        for action in actions {
            self.run_action(now, action, refusal, rng, &mut outcome);
        }
        outcome
    }

    /// Performs an action of the chart, and adds its results to `outcome`.
    fn run_action(
        &mut self,
        now: Timestamp,
        action: Action,
        refusal: Option<&Refusal>,
        rng: &mut SmallRng,
        outcome: &mut Outcome,
    ) {
        match action {
            Action::Dial => {
                // Links that this node dialed have even numbers, incoming ones odd numbers.
                self.session = LinkId(self.session.0 + 2);
                self.last_heard = now;
                self.last_dialed = self.candidates.pop_front();
                outcome.dial = self.last_dialed.map(|address| (self.session, address));
            }
            Action::CollectCandidates => outcome.collect_candidates = true,
            Action::Wait => {
                let jitter = rng.random_range(0..=self.backoff.get());
                self.next = now.after(Span::new(self.backoff.get() / 2 + jitter));
                self.backoff = self.backoff.times(2).min(BACKOFF_MAX);
            }
            Action::WaitRequested => {
                if let Some(Refusal::Busy(span)) = refusal {
                    let jitter = rng.random_range(0..=span.get());
                    self.next = now.after(Span::new(span.get() + jitter));
                    self.candidates.extend(self.last_dialed);
                    self.candidates.rotate_right(1);
                }
            }
            Action::TryChildren => {
                if let Some(Refusal::Full(members)) = refusal {
                    self.prefer_children(now, members, rng);
                }
            }
            Action::TryAncestors => {
                let ancestors: Vec<_> = self
                    .path
                    .iter()
                    .rev()
                    .skip(1)
                    .map(|member| member.link)
                    .collect();
                self.candidates.clear();
                self.add_candidates(ancestors);
                self.next = now;
            }
            Action::Join => {
                self.backoff = BACKOFF_MIN;
                self.last_heard = now;
                outcome.joined = true;
            }
            Action::LeaveParent => {
                self.path.clear();
                self.orphan_since = now;
                outcome.left_parent = true;
            }
            Action::Close => outcome.close = Some(self.session),
        }
    }

    /// Makes the children of a full candidate the first candidates, in random order.
    fn prefer_children(&mut self, now: Timestamp, members: &[Member], rng: &mut SmallRng) {
        let mut addresses: Vec<_> = members.iter().map(|member| member.link).collect();
        addresses.shuffle(rng);
        for address in addresses {
            self.prefer(address);
        }
        self.next = now;
    }
}
