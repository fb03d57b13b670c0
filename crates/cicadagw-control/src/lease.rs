//! Leases of roots.

use std::fmt;

use cicadagw_chart::{Chart, names};
use cicadagw_platform::{Condition, Error, Key, Object, Revision};
use cicadagw_unit::id;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_wire::Member;

use crate::platform::{Call, Purpose, Request, Response};

names! {
    /// Where a node stands with a lease.
    pub enum State {
        /// It knows nothing.
        Unknown = "unknown",
        /// Another node holds it.
        Watching = "watching",
        /// A claim is under way.
        Claiming = "claiming",
        /// It holds the lease.
        Held = "held",
        /// A renewal is under way.
        Renewing = "renewing",
        /// A renewal came out unclear.
        Doubting = "doubting",
    }
}
names! {
    /// What happens to a lease.
    pub enum Event {
        /// It is time to look at it.
        Due = "due",
        /// A read found nothing.
        Absent = "absent",
        /// A read found another holder.
        Other = "other",
        /// A read found this node as the holder.
        Own = "own",
        /// A write took effect.
        Written = "written",
        /// A write found another revision.
        Conflict = "conflict",
        /// The answer of a write was lost.
        LostAnswer = "lost-answer",
        /// A call did not reach the platform.
        Failed = "failed",
        /// The node stops.
        Leave = "leave",
        /// The node does not want it any more.
        Unwanted = "unwanted",
    }
}
names! {
    /// What may be true of a lease.
    pub enum Guard {
        /// It was not renewed for as long as it lasts.
        Lapsed = "lapsed",
    }
}
names! {
    /// What is done about a lease.
    pub enum Action {
        /// Read it.
        Read = "read",
        /// Write oneself as the holder.
        Claim = "claim",
        /// Write oneself as the holder once more.
        Renew = "renew",
        /// Write that nobody holds it.
        Release = "release",
        /// Keep what was read.
        Note = "note",
        /// Act as the holder.
        Gain = "gain",
        /// Cease to act as the holder.
        Lose = "lose",
    }
}

/// The chart of a lease.
pub(crate) type Rules = Chart<State, Event, Guard, Action>;

/// How many renewals fall into the duration of a lease.
const RENEWALS: u64 = 3;

/// What stands in a lease that nobody holds.
const RELEASED: &[u8] = b"{}";

/// What a root is the root of.
#[derive(
    Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Rank {
    /// A failure domain.
    Domain,
    /// A region.
    Region,
    /// The whole fleet.
    Fleet,
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Domain => "domain",
            Self::Region => "region",
            Self::Fleet => "fleet",
        })
    }
}

/// What the object of a lease holds.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The failure domain of the holder.
    pub domain: id::Domain,
    /// The holder.
    pub holder: Member,
    /// Tells one life of the holder's process from another.
    pub term: u64,
}

/// What changed for the node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Change {
    Gained,
    Lost,
}

/// What a step of a lease leads to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Outcome {
    pub(crate) call: Option<Call>,
    pub(crate) change: Option<Change>,
}

/// What was read of a lease that another node holds.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Seen {
    claim: Claim,
    revision: Revision,
    since: Timestamp,
}

/// One lease, as this node sees it.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    rules: Rules,
    rank: Rank,
    key: Key,
    claim: Claim,
    duration: Span,
    state: State,
    /// The revision that the next write must find.
    revision: Option<Revision>,
    seen: Option<Seen>,
    in_flight: bool,
    next: Timestamp,
    /// When the platform last said that this node is the holder.
    confirmed: Timestamp,
}

impl Lease {
    pub(crate) fn new(rules: Rules, rank: Rank, key: Key, claim: Claim, duration: Span) -> Self {
        Self {
            state: rules.initial(),
            rules,
            rank,
            key,
            claim,
            duration,
            revision: None,
            seen: None,
            in_flight: false,
            next: Timestamp::default(),
            confirmed: Timestamp::default(),
        }
    }

    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// Tells whether this node acts as the holder.
    pub(crate) fn is_held(&self) -> bool {
        matches!(self.state, State::Held | State::Renewing | State::Doubting)
    }

    /// Tells whether the platform said of late that this node is the holder.
    pub(crate) fn is_fresh(&self, now: Timestamp) -> bool {
        self.is_held() && now.since(self.confirmed) < self.duration
    }

    /// Puts the next look off until `next`.
    pub(crate) fn put_off(&mut self, next: Timestamp) {
        self.next = next;
    }

    /// Returns the other node that holds the lease, as far as this one knows.
    pub(crate) fn other(&self) -> Option<&Member> {
        let seen = self.seen.as_ref().filter(|_| !self.is_held())?;
        Some(&seen.claim.holder)
    }

    /// Looks at the lease when it is time to.
    pub(crate) fn tick(&mut self, now: Timestamp, wanted: bool) -> Outcome {
        if !wanted {
            return self.take(now, Event::Unwanted);
        }
        if self.in_flight || now < self.next {
            return Outcome::default();
        }
        self.next = now.after(Span::new(self.duration.get() / RENEWALS));
        self.take(now, Event::Due)
    }

    /// Gives the lease back.
    pub(crate) fn leave(&mut self, now: Timestamp) -> Outcome {
        self.take(now, Event::Leave)
    }

    /// Takes the answer to the call that was under way.
    pub(crate) fn reply(&mut self, now: Timestamp, outcome: Result<Response, Error>) -> Outcome {
        self.in_flight = false;
        let event = match outcome {
            Ok(Response::Object(None)) => {
                self.revision = None;
                Event::Absent
            }
            Ok(Response::Object(Some(object))) => self.read(now, &object),
            Ok(Response::Written(revision)) => {
                self.revision = Some(revision);
                self.confirmed = now;
                Event::Written
            }
            Err(Error::Conflict) => Event::Conflict,
            Err(Error::Unknown(_)) => Event::LostAnswer,
            Err(Error::Compacted | Error::Unavailable(_) | Error::Refused(_)) => Event::Failed,
        };
        self.take(now, event)
    }

    /// Takes what was read and tells whose lease it is.
    fn read(&mut self, now: Timestamp, object: &Object) -> Event {
        self.revision = Some(object.revision);
        // An object that nobody can read is treated like a lapsed lease of nobody.
        let Ok(claim) = serde_json::from_slice::<Claim>(&object.value) else {
            return Event::Absent;
        };
        if claim == self.claim {
            self.confirmed = now;
            return Event::Own;
        }
        // The holder was an earlier life of this node, which is over.
        if claim.holder.node == self.claim.holder.node {
            return Event::Absent;
        }
        let known = self
            .seen
            .as_ref()
            .filter(|seen| seen.revision == object.revision);
        let since = known.map_or(now, |seen| seen.since);
        self.seen = Some(Seen {
            claim,
            revision: object.revision,
            since,
        });
        Event::Other
    }

    fn take(&mut self, now: Timestamp, event: Event) -> Outcome {
        let lapsed = self
            .seen
            .as_ref()
            .is_some_and(|seen| now.since(seen.since) >= self.duration);
        let step = self.rules.step(self.state, event, |Guard::Lapsed| lapsed);
        self.state = step.to;
        let actions: Vec<Action> = step.actions.to_vec();
        let mut outcome = Outcome::default();
        for action in actions {
            match action {
                Action::Read => outcome.call = Some(self.call(Request::Get(self.key.clone()))),
                Action::Claim | Action::Renew => outcome.call = Some(self.write()),
                Action::Release => outcome.call = Some(self.put(RELEASED.to_vec())),
                Action::Note => {}
                Action::Gain => outcome.change = Some(Change::Gained),
                Action::Lose => outcome.change = Some(Change::Lost),
            }
        }
        self.in_flight |= outcome.call.is_some();
        outcome
    }

    fn write(&self) -> Call {
        self.put(serde_json::to_vec(&self.claim).expect("a claim can be written as JSON"))
    }

    fn put(&self, value: Vec<u8>) -> Call {
        self.call(Request::Put {
            key: self.key.clone(),
            value,
            condition: self.revision.map_or(Condition::Absent, Condition::Revision),
        })
    }

    fn call(&self, request: Request) -> Call {
        Call {
            purpose: Purpose::Lease(self.rank),
            request,
        }
    }
}
