//! The decisions of one acceptance, as its chart orders them.

use cicadagw_chart::Transition;
use cicadagw_config::head::Entry;
use cicadagw_config::part::Part;
use cicadagw_config::{Head, Stamp};
use cicadagw_platform::{Condition, Revision};
use cicadagw_unit::Version;
use cicadagw_unit::time::Span;

use crate::chart::{Action, Guard, Signal, State, chart};
use crate::request::find;
use crate::{Base, Candidate, Intent, Outcome, Refusal, Request, StoredHead};

/// How often the head is read or updated again after an answer that leaves the outcome open.
const TRIES: u32 = 5;

/// How long the first pause is; every further one is twice as long.
const PAUSE: Span = Span::new(100);

/// What the platform answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The head, or that there is none.
    Head(Option<StoredHead>),
    /// The contents that the change builds on.
    Loaded(Box<Base>),
    /// All parts are there.
    Written,
    /// The update of the head took effect.
    Moved,
    /// The answer to a write was lost.
    Lost(String),
    /// The head was not as the update wanted it.
    Conflict,
    /// The platform did not take the call.
    Unavailable(String),
}

/// What is to be done; one event answers each effect that reads or writes the head, contents or
/// parts, and none the others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Read the head.
    ReadHead,
    /// Read the snapshots of these entries.
    LoadContents {
        /// The entry in force, if there is one.
        newest: Option<Entry>,
        /// The entry that a rollback returns to.
        old: Option<Entry>,
    },
    /// Write these parts.
    WriteParts(Vec<Part>),
    /// Update the head on a condition.
    MoveHead {
        /// The new head.
        head: Head,
        /// What must be true of the present one.
        condition: Condition,
    },
    /// Let this much time pass.
    Pause(Span),
    /// Make sure of the parts, and remove those of `dropped` that the head does not name.
    Tidy {
        /// The parts of the new entry.
        parts: Vec<Part>,
        /// The entry that left the history.
        dropped: Option<Entry>,
    },
    /// End with this outcome.
    End(Outcome),
}

/// One acceptance.
#[derive(Clone, Debug)]
pub struct Session {
    base: Option<StoredHead>,
    candidate: Option<Result<Candidate, Refusal>>,
    doubtful: bool,
    newest: Option<StoredHead>,
    reason: String,
    request: Request,
    state: State,
    tries: u32,
}

impl Session {
    /// Starts an acceptance; the first effect is to read the head.
    pub fn new(request: Request) -> (Self, Vec<Effect>) {
        let session = Self {
            base: None,
            candidate: None,
            doubtful: false,
            newest: None,
            reason: String::new(),
            request,
            state: chart().initial(),
            tries: 0,
        };
        (session, vec![Effect::ReadHead])
    }

    /// Returns how far the acceptance is.
    pub const fn state(&self) -> State {
        self.state
    }

    /// Takes an event and returns what is to be done, in this order.
    pub fn step(&mut self, event: Event) -> Vec<Effect> {
        let signal = self.take(event);
        let Transition { to, actions } =
            chart().step(self.state, signal, |guard| self.holds(guard));
        let effects = actions
            .iter()
            .filter_map(|action| self.act(*action))
            .collect();
        self.state = to;
        effects
    }

    /// Keeps what an event brings.
    fn take(&mut self, event: Event) -> Signal {
        match event {
            Event::Head(found) => {
                if self.state == State::Reading {
                    self.base.clone_from(&found);
                }
                self.newest = found;
                Signal::Head
            }
            Event::Loaded(base) => {
                let head = self.base.as_ref().map(|found| &found.head);
                self.candidate = Some(Candidate::build(&self.request, head, &base));
                Signal::Loaded
            }
            Event::Written => Signal::Written,
            Event::Moved => Signal::Moved,
            Event::Lost(reason) => {
                self.reason = reason;
                Signal::Lost
            }
            Event::Conflict => Signal::Conflict,
            Event::Unavailable(reason) => {
                self.reason = reason;
                Signal::Unavailable
            }
        }
    }

    fn holds(&self, guard: Guard) -> bool {
        match guard {
            Guard::Reused => self.known().is_some_and(|(entry, head)| {
                entry.operator != self.request.operator || !self.request.intent.led_to(entry, head)
            }),
            Guard::Known if self.state == State::Reading => self.known().is_some(),
            Guard::Known => self.known().map(|(entry, _)| entry) == self.entry().as_ref(),
            Guard::Overtaken => self.is_overtaken(),
            Guard::Forgotten => self.doubtful && self.has_moved(),
            Guard::Faulty => matches!(self.candidate, Some(Err(_))),
            Guard::Trial => self.request.trial,
            Guard::Doubtful => self.doubtful,
            Guard::TriesLeft => self.tries < TRIES,
        }
    }

    fn act(&mut self, action: Action) -> Option<Effect> {
        match action {
            Action::ReadHead => Some(Effect::ReadHead),
            Action::LoadContents => Some(self.load_contents()),
            Action::WriteParts => Some(Effect::WriteParts(self.parts())),
            Action::MoveHead => self.move_head(),
            Action::NoteDoubt => {
                self.doubtful = true;
                None
            }
            Action::Pause => {
                let pause = PAUSE.times(1 << self.tries);
                self.tries += 1;
                Some(Effect::Pause(pause))
            }
            Action::Tidy => Some(Effect::Tidy {
                parts: self.parts(),
                dropped: self.dropped(),
            }),
            Action::ReportAccepted => self.entry().map(|entry| end(Outcome::Accepted(entry))),
            Action::ReportKnown => self
                .known()
                .map(|(entry, _)| end(Outcome::Known(entry.clone()))),
            Action::ReportTrial => self.entry().map(|entry| end(Outcome::Trial(entry))),
            Action::ReportConflict => Some(end(Outcome::Conflict(self.winner().cloned()))),
            Action::ReportUnavailable => Some(end(Outcome::Unavailable(self.reason.clone()))),
            Action::ReportUnknown => Some(end(Outcome::Unknown(self.reason.clone()))),
            Action::RefuseReuse => self
                .known()
                .map(|(entry, _)| refuse(Refusal::Reused(entry.stamp.version))),
            Action::RefuseFaults => match &self.candidate {
                Some(Err(refusal)) => Some(refuse(refusal.clone())),
                _ => None,
            },
        }
    }

    /// Returns the entry of this change in the newest head.
    fn known(&self) -> Option<(&Entry, &Head)> {
        let head = &self.newest.as_ref()?.head;
        head.find(&self.request.change).map(|entry| (entry, head))
    }

    /// Tells whether another change stands where this one was to stand.
    fn is_overtaken(&self) -> bool {
        match (self.state, self.request.base) {
            (State::Reading, Some(base)) => base != self.version(),
            (State::Reading, None) => false,
            _ => self.winner().is_some(),
        }
    }

    /// Returns the change that stands where this one was to stand.
    fn winner(&self) -> Option<&Entry> {
        let head = &self.newest.as_ref()?.head;
        let is_first_look = self.state == State::Reading;
        let base = match self.request.base {
            Some(base) if is_first_look => base,
            _ => self.version(),
        };
        // Where the history no longer reaches back, the newest change stands for the first one,
        // unless that first one may have been this change.
        let is_other = !self.doubtful && (is_first_look || self.has_moved());
        find(head, base.next()).or_else(|| is_other.then(|| head.newest()))
    }

    /// Tells whether the head was updated since the change was begun.
    fn has_moved(&self) -> bool {
        self.newest.as_ref().map(|found| found.revision) != self.revision()
    }

    /// Returns the version that the change builds on.
    fn version(&self) -> Version {
        let head = self.base.as_ref().map(|found| &found.head);
        head.map_or(Stamp::default().version, Head::version)
    }

    fn revision(&self) -> Option<Revision> {
        self.base.as_ref().map(|found| found.revision)
    }

    fn load_contents(&self) -> Effect {
        let head = self.base.as_ref().map(|found| &found.head);
        let old = match (&self.request.intent, head) {
            (Intent::Rollback(version), Some(head)) => find(head, *version).cloned(),
            _ => None,
        };
        Effect::LoadContents {
            newest: head.map(|head| head.newest().clone()),
            old,
        }
    }

    fn accepted(&self) -> Option<&Candidate> {
        self.candidate.as_ref()?.as_ref().ok()
    }

    fn parts(&self) -> Vec<Part> {
        self.accepted()
            .map(|candidate| candidate.parts.clone())
            .unwrap_or_default()
    }

    fn entry(&self) -> Option<Entry> {
        self.accepted()
            .map(|candidate| candidate.head.newest().clone())
    }

    /// Returns the entry that the new head no longer holds.
    fn dropped(&self) -> Option<Entry> {
        let oldest = self.base.as_ref()?.head.history.last()?;
        let head = &self.accepted()?.head;
        let is_held = find(head, oldest.stamp.version).is_some();
        (!is_held).then(|| oldest.clone())
    }

    fn move_head(&self) -> Option<Effect> {
        let head = self.accepted()?.head.clone();
        let condition = self
            .revision()
            .map_or(Condition::Absent, Condition::Revision);
        Some(Effect::MoveHead { head, condition })
    }
}

fn end(outcome: Outcome) -> Effect {
    Effect::End(outcome)
}

fn refuse(refusal: Refusal) -> Effect {
    end(Outcome::Refused(refusal))
}
