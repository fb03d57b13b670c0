//! The rollouts that a node knows and leads, and how it follows their orders at the platform.

use std::collections::BTreeMap;
use std::sync::Arc;

use cicadagw_platform::{Error, Revision};
use cicadagw_rollout::{Directive, Entry, Leader, Status};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Term, id};
use rand::Rng;

use crate::source::{Action, Event, State, chart, jittered};
use crate::{Call, hash};

/// How long the platform may hold a watch of the orders open. Several nodes watch, so one whose
/// connection has fallen silent is no loss.
const WATCH_WAIT: Span = Span::seconds(10);

/// Minimum time between a response and the next request.
const CALL_GAP: Span = Span::new(50);

/// Wait after the first failure, without jitter; doubled for each further one.
const BACKOFF_MIN: Span = Span::new(200);

/// Maximum wait after a failure, without jitter.
const BACKOFF_MAX: Span = Span::new(1_600);

/// The rollouts that a node knows, and those that it leads.
#[derive(Debug)]
pub(crate) struct Rollouts {
    /// Whether operators order rollouts; without that, nothing here is ever used.
    pub(crate) is_enabled: bool,
    pub(crate) follower: Follower,
    /// What the platform held, as far as this node has read it, and when it read that.
    pub(crate) entries: BTreeMap<id::Service, (Timestamp, Entry)>,
    /// The rollouts that this node leads.
    pub(crate) led: BTreeMap<id::Service, Lead>,
    /// The revisions at which the platform last refused a write of this node, and when.
    pub(crate) refused: BTreeMap<id::Service, (Timestamp, Term)>,
    directives: Arc<BTreeMap<id::Service, Arc<Directive>>>,
    digest: u64,
    /// Start time of the process, in milliseconds since the Unix epoch.
    start_ms: u64,
}

/// A rollout that this node leads.
#[derive(Debug)]
pub(crate) struct Lead {
    pub(crate) leader: Leader,
    /// The revision of the order at which this node last knew it.
    pub(crate) term: Term,
    /// The status that is being written, and the revision that the order must have.
    pub(crate) writing: Option<(Status, Term)>,
    /// Earliest time of the next write, after one that failed.
    pub(crate) retry_at: Option<Timestamp>,
}

impl Rollouts {
    pub(crate) fn new(is_enabled: bool, start_ms: u64) -> Self {
        Self {
            is_enabled,
            follower: Follower::default(),
            entries: BTreeMap::new(),
            led: BTreeMap::new(),
            refused: BTreeMap::new(),
            directives: Arc::default(),
            digest: 0,
            start_ms,
        }
    }

    /// Returns the time in milliseconds since the Unix epoch.
    pub(crate) const fn unix_ms(&self, now: Timestamp) -> u64 {
        self.start_ms.saturating_add(now.get())
    }

    /// Adds a directive if it precedes the one that is known; returns whether it does.
    pub(crate) fn learn(&mut self, directive: &Directive) -> bool {
        let known = self.directives.get(&directive.service);
        if known.is_some_and(|known| known.precedence() >= directive.precedence()) {
            return false;
        }
        let replaced = known.map_or(0, |known| hash::rollout(known));
        let added = hash::rollout(directive);
        self.digest = self.digest.wrapping_sub(replaced).wrapping_add(added);
        let directives = Arc::make_mut(&mut self.directives);
        directives.insert(directive.service.clone(), Arc::new(directive.clone()));
        true
    }

    /// Returns the directive of a service.
    pub(crate) fn get(&self, service: &id::Service) -> Option<&Directive> {
        self.directives.get(service).map(Arc::as_ref)
    }

    /// Returns all directives.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Directive> {
        self.directives.values().map(Arc::as_ref)
    }

    /// Returns all directives, for the calls duty.
    pub(crate) fn published(&self) -> Arc<BTreeMap<id::Service, Arc<Directive>>> {
        self.directives.clone()
    }

    /// Returns the digest of all directives: zero without any.
    pub(crate) const fn digest(&self) -> u64 {
        self.digest
    }
}

/// Schedules the requests that list and watch the orders at the platform, as `charts/source.jsonc`
/// defines it.
#[derive(Debug)]
pub(crate) struct Follower {
    state: State,
    /// Revision up to which all changes are known.
    after: Revision,
    /// Earliest time of the next request.
    due: Timestamp,
    failures: u32,
    /// Whether the orders are listed again instead of watched.
    lists_again: bool,
}

impl Default for Follower {
    fn default() -> Self {
        Self {
            state: chart().initial(),
            after: Revision::default(),
            due: Timestamp::default(),
            failures: 0,
            lists_again: false,
        }
    }
}

impl Follower {
    /// Returns whether all changes up to a revision are known.
    pub(crate) const fn is_synced(&self) -> bool {
        matches!(self.state, State::Synced | State::Watching)
    }

    /// Lists the orders again: this node has learnt that what it knows is outdated.
    pub(crate) const fn list_again(&mut self) {
        self.lists_again = true;
    }

    /// Returns the request that is due, if any.
    pub(crate) fn tick(&mut self, now: Timestamp, rng: &mut impl Rng) -> Option<Call> {
        if self.lists_again {
            self.lists_again = false;
            return Some(Call::ListRollouts);
        }
        if now < self.due {
            return None;
        }
        self.step(now, Event::Due, rng)
    }

    /// Processes the outcome of a request, and returns the one that must follow without a wait.
    pub(crate) fn answered(
        &mut self,
        now: Timestamp,
        outcome: Result<Revision, &Error>,
        rng: &mut impl Rng,
    ) -> Option<Call> {
        let event = match outcome {
            Ok(revision) => {
                self.after = self.after.max(revision);
                self.failures = 0;
                Event::Answered
            }
            // Only a watch names a revision, and a list in flight has replaced it.
            Err(Error::Restored) if self.state == State::Reading => return None,
            Err(Error::Compacted | Error::Restored) => Event::Compacted,
            Err(_) => Event::Failed,
        };
        self.step(now, event, rng)
    }

    fn step(&mut self, now: Timestamp, event: Event, rng: &mut impl Rng) -> Option<Call> {
        let step = chart().step(self.state, event, |guard| match guard {});
        self.state = step.to;
        let mut call = None;
        for action in step.actions {
            match action {
                Action::Read => call = Some(Call::ListRollouts),
                Action::Watch => {
                    call = Some(Call::WatchRollouts {
                        after: self.after,
                        wait: WATCH_WAIT,
                    });
                }
                Action::Pause => self.due = now.after(CALL_GAP),
                Action::BackOff => {
                    let wait = BACKOFF_MIN.times(1 << self.failures.min(8));
                    self.failures += 1;
                    self.due = now.after(jittered(wait.min(BACKOFF_MAX), rng));
                }
            }
        }
        call
    }
}
