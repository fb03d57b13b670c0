//! Leases that decide which node is the root of a failure domain, a region or the fleet.

use std::fmt;

use cicadagw_chart::names;
use cicadagw_platform::{Condition, Error, Key, Object, Revision};
use cicadagw_unit::id;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_wire::Member;

use crate::platform::{Call, Purpose, Request, Response};

names! {
    /// Relation of this node to a lease.
    pub enum State {
        /// The holder is not known, or what was known is out of date.
        Unknown = "unknown",
        /// Another node holds the lease, or held it before it expired.
        Watching = "watching",
        /// A write that claims the lease is in flight.
        Claiming = "claiming",
        /// This node holds the lease.
        Held = "held",
        /// A write that renews the lease is in flight.
        Renewing = "renewing",
        /// The outcome of a renewal is not known; the lease is read to find out who holds it.
        Doubting = "doubting",
    }
}
names! {
    /// An event of the chart.
    pub enum Event {
        /// The next read or renewal is due.
        Due = "due",
        /// A read found no lease object, or one without a valid holder.
        Absent = "absent",
        /// A read found another node as the holder.
        HeldByOther = "held-by-other",
        /// A read found this node as the holder.
        HeldBySelf = "held-by-self",
        /// A write succeeded.
        Written = "written",
        /// A write failed because the revision of the object had changed.
        Conflict = "conflict",
        /// The response to a write was lost: the write may or may not have taken effect.
        LostResponse = "lost-response",
        /// A request did not reach the platform, or was rejected.
        Failed = "failed",
        /// The node is shutting down.
        Leave = "leave",
        /// The node does not, or no longer, compete for the lease.
        Unwanted = "unwanted",
    }
}
names! {
    /// A condition on the lease.
    pub enum Guard {
        /// The holder has not renewed the lease for its whole duration.
        Expired = "expired",
    }
}
names! {
    /// An action of the chart.
    pub enum Action {
        /// Read the lease.
        Read = "read",
        /// Write this node as the holder.
        Claim = "claim",
        /// Write this node as the holder again, to extend the lease.
        Renew = "renew",
        /// Write that the lease has no holder.
        Release = "release",
        /// Keep the holder and revision that were read; done before the step, when the response is
        /// classified.
        Record = "record",
        /// Start to act as the root.
        Acquire = "acquire",
        /// Stop acting as the root.
        Lose = "lose",
    }
}

/// The chart of [`Lease`].
pub(crate) type Chart = cicadagw_chart::Chart<State, Event, Guard, Action>;

/// Number of renewals within the duration of a lease.
const RENEWALS_PER_DURATION: u64 = 3;

/// Content of a lease object without a holder.
const RELEASED: &[u8] = b"{}";

/// What the holder of a lease is the root of, from the narrowest to the widest.
#[derive(
    Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// One failure domain.
    Domain,
    /// One region.
    Region,
    /// The whole fleet.
    Fleet,
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Domain => "domain",
            Self::Region => "region",
            Self::Fleet => "fleet",
        })
    }
}

/// Content of a lease object: its holder.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The failure domain of the holder.
    pub domain: id::Domain,
    /// The holder.
    pub holder: Member,
    /// Random number that distinguishes the processes of a node that restarts.
    pub term: u64,
}

/// Whether this node started or stopped acting as the root.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Change {
    /// The node acts as the root from now on.
    Acquired,
    /// The node no longer acts as the root.
    Lost,
}

/// The result of a step of the lease.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Outcome {
    pub(crate) call: Option<Call>,
    pub(crate) change: Option<Change>,
}

/// The claim of another node, as last read.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Observed {
    claim: Claim,
    revision: Revision,
    /// When this revision was first read. The lease expires one duration later, by this node's own
    /// clock.
    since: Timestamp,
}

/// One lease, from the point of view of this node.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    chart: Chart,
    scope: Scope,
    key: Key,
    claim: Claim,
    duration: Span,
    state: State,
    /// Revision that the next write requires; the object must not exist if `None`.
    revision: Option<Revision>,
    observed: Option<Observed>,
    /// Whether a request about the lease is in flight.
    in_flight: bool,
    /// When the next read or renewal is due.
    next: Timestamp,
    /// When the platform last confirmed that this node is the holder.
    confirmed: Timestamp,
}

impl Lease {
    pub(crate) fn new(chart: Chart, scope: Scope, key: Key, claim: Claim, duration: Span) -> Self {
        Self {
            state: chart.initial(),
            chart,
            scope,
            key,
            claim,
            duration,
            revision: None,
            observed: None,
            in_flight: false,
            next: Timestamp::default(),
            confirmed: Timestamp::default(),
        }
    }

    /// Returns the current state of the chart.
    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// Returns whether this node acts as the root.
    pub(crate) fn is_held(&self) -> bool {
        matches!(self.state, State::Held | State::Renewing | State::Doubting)
    }

    /// Returns whether the platform has confirmed within the lease duration that this node is the
    /// holder.
    pub(crate) fn is_confirmed(&self, now: Timestamp) -> bool {
        self.is_held() && now.since(self.confirmed) < self.duration
    }

    /// Postpones the next read or renewal until `next`.
    pub(crate) fn postpone(&mut self, next: Timestamp) {
        self.next = next;
    }

    /// Returns the other node that was last read as the holder; `None` if there is none or this
    /// node holds the lease.
    pub(crate) fn other_holder(&self) -> Option<&Member> {
        let observed = self.observed.as_ref().filter(|_| !self.is_held())?;
        Some(&observed.claim.holder)
    }

    /// Reads, claims or renews the lease when it is due.
    pub(crate) fn tick(&mut self, now: Timestamp, wanted: bool) -> Outcome {
        if !wanted {
            return self.step(now, Event::Unwanted);
        }
        if self.in_flight || now < self.next {
            return Outcome::default();
        }
        self.next = now.after(Span::new(self.duration.get() / RENEWALS_PER_DURATION));
        self.step(now, Event::Due)
    }

    /// Releases the lease if it is held, because the node shuts down.
    pub(crate) fn shut_down(&mut self, now: Timestamp) -> Outcome {
        self.step(now, Event::Leave)
    }

    /// Processes the response to the request in flight.
    pub(crate) fn reply(&mut self, now: Timestamp, outcome: Result<Response, Error>) -> Outcome {
        self.in_flight = false;
        let event = match outcome {
            Ok(Response::Object(None)) => {
                self.revision = None;
                Event::Absent
            }
            Ok(Response::Object(Some(object))) => self.classify(now, &object),
            Ok(Response::Written(revision)) => {
                self.revision = Some(revision);
                self.confirmed = now;
                Event::Written
            }
            Err(Error::Conflict) => Event::Conflict,
            // What a write did to a store that has been restored is as uncertain as a lost response.
            Err(Error::Restored | Error::Unknown(_)) => Event::LostResponse,
            Err(Error::Compacted | Error::Unavailable(_) | Error::Refused(_)) => Event::Failed,
        };
        self.step(now, event)
    }

    /// Records the lease object that was read, and classifies its holder.
    fn classify(&mut self, now: Timestamp, object: &Object) -> Event {
        self.revision = Some(object.revision);
        // An unreadable object counts as a lease without a holder.
        let Ok(claim) = serde_json::from_slice::<Claim>(&object.value) else {
            return Event::Absent;
        };
        if claim == self.claim {
            self.confirmed = now;
            return Event::HeldBySelf;
        }
        // The holder is an earlier process of this node, which has ended.
        if claim.holder.node == self.claim.holder.node {
            return Event::Absent;
        }
        let known = self
            .observed
            .as_ref()
            .filter(|observed| observed.revision == object.revision);
        let since = known.map_or(now, |observed| observed.since);
        self.observed = Some(Observed {
            claim,
            revision: object.revision,
            since,
        });
        Event::HeldByOther
    }

    /// Takes a step of the chart.
    fn step(&mut self, now: Timestamp, event: Event) -> Outcome {
        let is_expired = self
            .observed
            .as_ref()
            .is_some_and(|observed| now.since(observed.since) >= self.duration);
        let step = self
            .chart
            .step(self.state, event, |Guard::Expired| is_expired);
        self.state = step.to;
        let actions: Vec<Action> = step.actions.to_vec();
        let mut outcome = Outcome::default();
        for action in actions {
            match action {
                Action::Read => outcome.call = Some(self.call(Request::Get(self.key.clone()))),
                Action::Claim | Action::Renew => outcome.call = Some(self.write_claim()),
                Action::Release => outcome.call = Some(self.put(RELEASED.to_vec())),
                Action::Record => {}
                Action::Acquire => outcome.change = Some(Change::Acquired),
                Action::Lose => outcome.change = Some(Change::Lost),
            }
        }
        self.in_flight |= outcome.call.is_some();
        outcome
    }

    /// Returns the write that makes this node the holder.
    fn write_claim(&self) -> Call {
        self.put(serde_json::to_vec(&self.claim).expect("a claim serializes to JSON"))
    }

    /// Returns the write of `value`, which requires that the object has not changed since it was
    /// last read or written.
    fn put(&self, value: Vec<u8>) -> Call {
        self.call(Request::Put {
            key: self.key.clone(),
            value,
            condition: self.revision.map_or(Condition::Absent, Condition::Revision),
        })
    }

    /// Returns a platform request about this lease.
    fn call(&self, request: Request) -> Call {
        Call {
            purpose: Purpose::Lease(self.scope),
            request,
        }
    }
}
