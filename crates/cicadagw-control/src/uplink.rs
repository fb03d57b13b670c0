//! The link of a node to its parent.

use std::collections::VecDeque;
use std::net::SocketAddr;

use cicadagw_chart::{Chart, names};
use cicadagw_unit::id;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_wire::down::Path;
use cicadagw_wire::link::Session;
use cicadagw_wire::{Member, Refusal};
use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

names! {
    /// How a node is linked to a parent.
    pub enum State {
        /// It has none and is not asking for one.
        Orphan = "orphan",
        /// It is asking for one.
        Dialing = "dialing",
        /// It has one.
        Joined = "joined",
    }
}
names! {
    /// What happens to the link.
    pub enum Event {
        /// It is time to ask for a parent.
        Due = "due",
        /// The parent takes this node.
        Opened = "opened",
        /// The parent has no room.
        Full = "full",
        /// The parent has no time.
        Busy = "busy",
        /// The parent hangs below this node.
        Loop = "loop",
        /// The link is gone.
        Closed = "closed",
        /// The parent gives no sign of life.
        Silent = "silent",
        /// The node became or ceased to be a root.
        Rise = "rise",
    }
}
names! {
    /// What may be true.
    pub enum Guard {
        /// Some node can be asked.
        HasCandidate = "has-candidate",
    }
}
names! {
    /// What is done.
    pub enum Action {
        /// Ask the next candidate.
        Dial = "dial",
        /// Collect candidates anew.
        Refill = "refill",
        /// Wait before the next try, longer each time.
        Wait = "wait",
        /// Wait as long as the parent said.
        WaitAsTold = "wait-as-told",
        /// Ask the children of the node that had no room.
        Descend = "descend",
        /// Ask the nodes above the parent that is gone.
        Climb = "climb",
        /// Act as the child of the parent.
        Join = "join",
        /// Cease to act as its child, and forget the path to it.
        Part = "part",
        /// Close the link.
        HangUp = "hang-up",
    }
}

/// The chart of the link to the parent.
pub(crate) type Rules = Chart<State, Event, Guard, Action>;

/// The wait before the second try to find a parent.
const BACKOFF_FIRST: Span = Span::new(100);

/// The longest wait before another try.
const BACKOFF_MAX: Span = Span::new(4_000);

/// The link to the parent and the nodes that could become parents.
#[derive(Clone, Debug)]
pub(crate) struct Uplink {
    rules: Rules,
    state: State,
    own: SocketAddr,
    session: Session,
    candidates: VecDeque<SocketAddr>,
    /// The node that was asked last.
    asked: Option<SocketAddr>,
    path: Path,
    heard: Timestamp,
    orphan_since: Timestamp,
    next: Timestamp,
    backoff: Span,
}

/// What a step of the uplink leads to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Outcome {
    pub(crate) dial: Option<(Session, SocketAddr)>,
    pub(crate) hang_up: Option<Session>,
    pub(crate) joined: bool,
    pub(crate) parted: bool,
    pub(crate) refill: bool,
}

impl Uplink {
    pub(crate) fn new(rules: Rules, own: SocketAddr) -> Self {
        Self {
            state: rules.initial(),
            rules,
            own,
            session: Session::default(),
            candidates: VecDeque::new(),
            asked: None,
            path: Path::new(),
            heard: Timestamp::default(),
            orphan_since: Timestamp::default(),
            next: Timestamp::default(),
            backoff: BACKOFF_FIRST,
        }
    }

    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// Returns the link when a parent took this node.
    pub(crate) fn joined(&self) -> Option<Session> {
        (self.state == State::Joined).then_some(self.session)
    }

    /// Tells whether `session` is the present link or dial.
    pub(crate) fn is(&self, session: Session) -> bool {
        self.state != State::Orphan && self.session == session
    }

    /// Tells whether the node at `address` is being asked.
    pub(crate) fn asks(&self, address: SocketAddr) -> bool {
        self.state == State::Dialing && self.asked == Some(address)
    }

    /// Returns the nodes from the root down to the parent; empty without a parent.
    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    /// Returns how long the node has been without a parent.
    pub(crate) fn orphaned(&self, now: Timestamp) -> Option<Span> {
        (self.state != State::Joined).then(|| now.since(self.orphan_since))
    }

    /// Notes a sign of life of the parent.
    pub(crate) fn hear(&mut self, now: Timestamp) {
        self.heard = now;
    }

    /// Takes the path down to the parent; tells whether this node is not on it.
    pub(crate) fn set_path(&mut self, path: Path, own: &id::Node) -> bool {
        let sound = path.iter().all(|member| member.node != *own);
        self.path = path;
        sound
    }

    /// Adds nodes that can be asked, the best first.
    pub(crate) fn add_candidates(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            if address != self.own && !self.candidates.contains(&address) {
                self.candidates.push_back(address);
            }
        }
    }

    /// Drops the candidates that are not to be asked.
    pub(crate) fn retain_candidates(&mut self, is_kept: impl Fn(&SocketAddr) -> bool) {
        self.candidates.retain(is_kept);
    }

    /// Asks `address` next, before all other candidates.
    pub(crate) fn prefer(&mut self, address: SocketAddr) {
        self.candidates.retain(|candidate| *candidate != address);
        if address != self.own {
            self.candidates.push_front(address);
        }
    }

    /// Forgets all candidates, and asks `superior` next, if there is one.
    pub(crate) fn rise(
        &mut self,
        now: Timestamp,
        superior: Option<SocketAddr>,
        random: &mut SmallRng,
    ) -> Outcome {
        self.candidates.clear();
        self.add_candidates(superior);
        self.next = now;
        self.take(now, Event::Rise, None, random)
    }

    /// Looks at the link.
    pub(crate) fn tick(
        &mut self,
        now: Timestamp,
        wanted: bool,
        silence: Span,
        random: &mut SmallRng,
    ) -> Outcome {
        match self.state {
            State::Orphan if wanted && now >= self.next => self.take(now, Event::Due, None, random),
            State::Dialing | State::Joined if now.since(self.heard) > silence => {
                self.take(now, Event::Silent, None, random)
            }
            _ => Outcome::default(),
        }
    }

    /// Takes what happened to the link.
    pub(crate) fn take(
        &mut self,
        now: Timestamp,
        event: Event,
        refusal: Option<&Refusal>,
        random: &mut SmallRng,
    ) -> Outcome {
        let has_candidate = !self.candidates.is_empty();
        let step = self
            .rules
            .step(self.state, event, |Guard::HasCandidate| has_candidate);
        self.state = step.to;
        let actions = step.actions.to_vec();
        let mut outcome = Outcome::default();
        for action in actions {
            self.act(now, action, refusal, random, &mut outcome);
        }
        outcome
    }

    fn act(
        &mut self,
        now: Timestamp,
        action: Action,
        refusal: Option<&Refusal>,
        random: &mut SmallRng,
        outcome: &mut Outcome,
    ) {
        match action {
            Action::Dial => {
                // Sessions of dialled links are even, those of incoming ones odd.
                self.session = Session(self.session.0 + 2);
                self.heard = now;
                self.asked = self.candidates.pop_front();
                outcome.dial = self.asked.map(|address| (self.session, address));
            }
            Action::Refill => outcome.refill = true,
            Action::Wait => {
                let jitter = random.random_range(0..=self.backoff.get());
                self.next = now.after(Span::new(self.backoff.get() / 2 + jitter));
                self.backoff = self.backoff.times(2).min(BACKOFF_MAX);
            }
            Action::WaitAsTold => {
                if let Some(Refusal::Busy(span)) = refusal {
                    let jitter = random.random_range(0..=span.get());
                    self.next = now.after(Span::new(span.get() + jitter));
                    self.candidates.extend(self.asked);
                    self.candidates.rotate_right(1);
                }
            }
            Action::Descend => {
                if let Some(Refusal::Full(members)) = refusal {
                    self.descend(now, members, random);
                }
            }
            Action::Climb => {
                let above: Vec<_> = self
                    .path
                    .iter()
                    .rev()
                    .skip(1)
                    .map(|member| member.link)
                    .collect();
                self.candidates.clear();
                self.add_candidates(above);
                self.next = now;
            }
            Action::Join => {
                self.backoff = BACKOFF_FIRST;
                self.heard = now;
                outcome.joined = true;
            }
            Action::Part => {
                self.path.clear();
                self.orphan_since = now;
                outcome.parted = true;
            }
            Action::HangUp => outcome.hang_up = Some(self.session),
        }
    }

    /// Puts the children of a full node before all other candidates, in random order.
    fn descend(&mut self, now: Timestamp, members: &[Member], random: &mut SmallRng) {
        let mut addresses: Vec<_> = members.iter().map(|member| member.link).collect();
        addresses.shuffle(random);
        for address in addresses {
            self.prefer(address);
        }
        self.next = now;
    }
}
