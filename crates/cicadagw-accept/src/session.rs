//! The decisions of one session, which accepts one change, driven by the chart.

use cicadagw_chart::Transition;
use cicadagw_config::head::Entry;
use cicadagw_config::part::Part;
use cicadagw_config::{Head, Stamp};
use cicadagw_platform::{Condition, Revision};
use cicadagw_unit::Version;
use cicadagw_unit::time::Span;

use crate::chart::{self, Action, Guard, State, chart};
use crate::request::find_version;
use crate::{Candidate, Intent, Outcome, Refusal, Request, Snapshots, StoredHead};

/// How often a request to the platform is repeated while the outcome is open: a write of parts
/// whose response was lost, or a read or an update of the head.
const RETRIES_MAX: u32 = 5;

/// The first wait before a request is repeated; every further one is twice as long.
const BACKOFF_BASE: Span = Span::new(100);

/// The result of an effect, with its data.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The head as read, or `None` if it does not exist.
    Head(Option<StoredHead>),
    /// The snapshots that the change builds on.
    Loaded(Box<Snapshots>),
    /// All parts are stored.
    Written,
    /// The update of the head took effect.
    HeadUpdated,
    /// The response to a write was lost for this reason, so whether it took effect is unknown.
    Lost(String),
    /// The condition of the head update did not hold.
    Conflict,
    /// The platform was unavailable or did not execute the request, for this reason.
    Unavailable(String),
}

/// An effect for the caller to execute. Each effect that reads the head or snapshots, writes parts
/// or updates the head leads to one event; the other effects lead to none.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Read the head.
    ReadHead,
    /// Read the snapshots of these entries.
    LoadSnapshots {
        /// The entry of the current version, if there is one.
        current: Option<Entry>,
        /// The entry that a rollback returns to.
        rollback_target: Option<Entry>,
    },
    /// Write these parts.
    WriteParts(Vec<Part>),
    /// Update the head on a condition.
    UpdateHead {
        /// The new head.
        head: Head,
        /// The condition on the stored head.
        condition: Condition,
    },
    /// Wait for this time.
    BackOff(Span),
    /// Write `parts` once more in case another operator removed them, then remove the parts of
    /// `evicted` that the head does not reference.
    CollectGarbage {
        /// The parts of the new entry.
        parts: Vec<Part>,
        /// The entry that the new head evicted from the history.
        evicted: Option<Entry>,
    },
    /// End with this outcome.
    End(Outcome),
}

/// A session, which accepts one change.
#[derive(Clone, Debug)]
pub struct Session {
    /// The head of the first read, which the change builds on; `None` if it did not exist.
    base_head: Option<StoredHead>,
    /// What the change would write, or why it is invalid; `None` until the snapshots are read.
    candidate: Option<Result<Candidate, Refusal>>,
    /// Whether the response to an update of the head was lost.
    is_indeterminate: bool,
    /// The head of the last read.
    latest_head: Option<StoredHead>,
    /// The reason of the last failed request to the platform.
    reason: String,
    request: Request,
    state: State,
    /// How often the session has backed off.
    retries: u32,
}

impl Session {
    /// Creates a session; the first effect is to read the head.
    pub fn new(request: Request) -> (Self, Vec<Effect>) {
        let session = Self {
            base_head: None,
            candidate: None,
            is_indeterminate: false,
            latest_head: None,
            reason: String::new(),
            request,
            state: chart().initial(),
            retries: 0,
        };
        (session, vec![Effect::ReadHead])
    }

    /// Returns the state of the session.
    pub const fn state(&self) -> State {
        self.state
    }

    /// Applies an event and returns the effects to execute, in order.
    pub fn step(&mut self, event: Event) -> Vec<Effect> {
        let event = self.record(event);
        let Transition { to, actions } = chart().step(self.state, event, |guard| self.holds(guard));
        let effects = actions
            .iter()
            .filter_map(|action| self.effect_of(*action))
            .collect();
        self.state = to;
        effects
    }

    /// Stores the data of an event and returns the event of the chart.
    fn record(&mut self, event: Event) -> chart::Event {
        match event {
            Event::Head(found) => {
                if self.state == State::Reading {
                    self.base_head.clone_from(&found);
                }
                self.latest_head = found;
                chart::Event::Head
            }
            Event::Loaded(snapshots) => {
                let head = self.base_head.as_ref().map(|found| &found.head);
                self.candidate = Some(Candidate::build(&self.request, head, &snapshots));
                chart::Event::Loaded
            }
            Event::Written => chart::Event::Written,
            Event::HeadUpdated => chart::Event::HeadUpdated,
            Event::Lost(reason) => {
                self.reason = reason;
                chart::Event::Lost
            }
            Event::Conflict => chart::Event::Conflict,
            Event::Unavailable(reason) => {
                self.reason = reason;
                chart::Event::Unavailable
            }
        }
    }

    /// Returns whether `guard` holds.
    fn holds(&self, guard: Guard) -> bool {
        match guard {
            Guard::Reused => self.recorded().is_some_and(|(entry, head)| {
                entry.operator != self.request.operator
                    || !self.request.intent.produced(entry, head)
            }),
            Guard::Known if self.state == State::Reading => self.recorded().is_some(),
            Guard::Known => self.recorded().map(|(entry, _)| entry) == self.entry().as_ref(),
            Guard::Superseded => self.is_superseded(),
            Guard::HistoryTruncated => self.is_indeterminate && self.has_head_changed(),
            Guard::Invalid => matches!(self.candidate, Some(Err(_))),
            Guard::Trial => self.request.trial,
            Guard::Indeterminate => self.is_indeterminate,
            Guard::RetriesLeft => self.retries < RETRIES_MAX,
        }
    }

    /// Returns the effect of `action`, if it has one.
    fn effect_of(&mut self, action: Action) -> Option<Effect> {
        match action {
            Action::ReadHead => Some(Effect::ReadHead),
            Action::LoadSnapshots => Some(self.load_snapshots()),
            Action::WriteParts => Some(Effect::WriteParts(self.parts())),
            Action::UpdateHead => self.update_head(),
            Action::MarkIndeterminate => {
                self.is_indeterminate = true;
                None
            }
            Action::BackOff => {
                let pause = BACKOFF_BASE.times(1 << self.retries);
                self.retries += 1;
                Some(Effect::BackOff(pause))
            }
            Action::CollectGarbage => Some(Effect::CollectGarbage {
                parts: self.parts(),
                evicted: self.evicted(),
            }),
            Action::ReportAccepted => self.entry().map(|entry| end(Outcome::Accepted(entry))),
            Action::ReportKnown => self
                .recorded()
                .map(|(entry, _)| end(Outcome::Known(entry.clone()))),
            Action::ReportTrial => self.entry().map(|entry| end(Outcome::Trial(entry))),
            Action::ReportConflict => Some(end(Outcome::Conflict(self.superseding().cloned()))),
            Action::ReportUnavailable => Some(end(Outcome::Unavailable(self.reason.clone()))),
            Action::ReportUnknown => Some(end(Outcome::Unknown(self.reason.clone()))),
            Action::RefuseReuse => self
                .recorded()
                .map(|(entry, _)| refuse(Refusal::Reused(entry.stamp.version))),
            Action::RefuseInvalid => match &self.candidate {
                Some(Err(refusal)) => Some(refuse(refusal.clone())),
                _ => None,
            },
        }
    }

    /// Returns the entry of this change in the last head read, with that head.
    fn recorded(&self) -> Option<(&Entry, &Head)> {
        let head = &self.latest_head.as_ref()?.head;
        head.find(&self.request.change).map(|entry| (entry, head))
    }

    /// Returns whether another change took the version that this change would receive. On the first
    /// read of the head, returns whether the operator's base version is not the current version.
    fn is_superseded(&self) -> bool {
        match (self.state, self.request.base) {
            (State::Reading, Some(base)) => base != self.version(),
            (State::Reading, None) => false,
            _ => self.superseding().is_some(),
        }
    }

    /// Returns the other change that took the version this change would receive.
    fn superseding(&self) -> Option<&Entry> {
        let head = &self.latest_head.as_ref()?.head;
        let is_first_read = self.state == State::Reading;
        let base = match self.request.base {
            Some(base) if is_first_read => base,
            _ => self.version(),
        };
        // If the history no longer reaches back to that version, its newest change is reported
        // instead, unless the change that took the version may have been this one.
        let is_other = !self.is_indeterminate && (is_first_read || self.has_head_changed());
        find_version(head, base.next()).or_else(|| is_other.then(|| head.newest()))
    }

    /// Returns whether the head was updated since the first read.
    fn has_head_changed(&self) -> bool {
        self.latest_head.as_ref().map(|found| found.revision) != self.revision()
    }

    /// Returns the version that the change builds on.
    fn version(&self) -> Version {
        let head = self.base_head.as_ref().map(|found| &found.head);
        head.map_or(Stamp::default().version, Head::version)
    }

    /// Returns the revision of the head that the change builds on.
    fn revision(&self) -> Option<Revision> {
        self.base_head.as_ref().map(|found| found.revision)
    }

    fn load_snapshots(&self) -> Effect {
        let head = self.base_head.as_ref().map(|found| &found.head);
        let rollback_target = match (&self.request.intent, head) {
            (Intent::Rollback(version), Some(head)) => find_version(head, *version).cloned(),
            _ => None,
        };
        Effect::LoadSnapshots {
            current: head.map(|head| head.newest().clone()),
            rollback_target,
        }
    }

    fn valid_candidate(&self) -> Option<&Candidate> {
        self.candidate.as_ref()?.as_ref().ok()
    }

    /// Returns the parts that the change writes.
    fn parts(&self) -> Vec<Part> {
        self.valid_candidate()
            .map(|candidate| candidate.parts.clone())
            .unwrap_or_default()
    }

    /// Returns the entry of this change in the new head.
    fn entry(&self) -> Option<Entry> {
        self.valid_candidate()
            .map(|candidate| candidate.head.newest().clone())
    }

    /// Returns the entry that the new head evicts from the history.
    fn evicted(&self) -> Option<Entry> {
        let oldest = self.base_head.as_ref()?.head.history.last()?;
        let head = &self.valid_candidate()?.head;
        let is_held = find_version(head, oldest.stamp.version).is_some();
        (!is_held).then(|| oldest.clone())
    }

    fn update_head(&self) -> Option<Effect> {
        let head = self.valid_candidate()?.head.clone();
        let condition = self
            .revision()
            .map_or(Condition::Absent, Condition::Revision);
        Some(Effect::UpdateHead { head, condition })
    }
}

fn end(outcome: Outcome) -> Effect {
    Effect::End(outcome)
}

fn refuse(refusal: Refusal) -> Effect {
    end(Outcome::Refused(refusal))
}
