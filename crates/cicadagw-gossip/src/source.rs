//! Watching of the configuration at the platform by long polling, as `charts/source.jsonc` defines
//! it, and checks that the watch misses nothing.

use std::sync::LazyLock;

use cicadagw_chart::names;
use cicadagw_platform::{Error, Revision};
use cicadagw_unit::time::{Span, Timestamp};
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::Call;

names! {
    /// How far this node knows the configuration at the platform.
    pub enum State {
        /// The configuration has not been read yet, or the last read failed or found none.
        Unsynced = "unsynced",
        /// A read of the configuration is in flight.
        Reading = "reading",
        /// All changes up to a revision are known, and no request is in flight.
        Synced = "synced",
        /// A watch that waits for a change is in flight.
        Watching = "watching",
    }
}

names! {
    /// An event of the chart.
    pub enum Event {
        /// The next request is due.
        Due = "due",
        /// The request succeeded.
        Answered = "answered",
        /// The platform no longer has the history since the requested revision, because that was
        /// compacted or its store was restored from a copy, or it has no configuration yet.
        Compacted = "compacted",
        /// The request failed.
        Failed = "failed",
    }
}

names! {
    /// Guards of the chart; no transition has one.
    pub enum Guard {}
}

names! {
    /// An action of the chart.
    pub enum Action {
        /// Read the configuration.
        Read = "read",
        /// Wait for a change.
        Watch = "watch",
        /// Delay the next request by `CALL_GAP`.
        Pause = "pause",
        /// Delay the next request by a backoff that grows with each failure.
        BackOff = "back-off",
    }
}

/// The chart of [`Source`].
pub type Chart = cicadagw_chart::Chart<State, Event, Guard, Action>;

/// Minimum time between a response and the next request. It is short enough for a change to take
/// effect well within the 2.5 s that operators expect, including its distribution between nodes.
const CALL_GAP: Span = Span::new(500);

/// How long the platform may hold a watch open. It is shorter than the history of about 20 s that
/// platforms keep.
const WATCH_WAIT: Span = Span::seconds(15);

/// Time after the last response of the platform after which a watcher checks whether the
/// configuration has changed. A pending watch says nothing about that: it may have fallen silent, or
/// the platform may not deliver the change. A check costs a tenth of a watch.
const CHECK_INTERVAL: Span = Span::seconds(1);

/// Timeout of a check. A node that has to wait longer for the platform leaves the watching to
/// others, if they can.
const CHECK_TIMEOUT: Span = Span::seconds(1);

/// Wait after the first failure, without jitter; doubled for each further one.
const BACKOFF_MIN: Span = Span::new(200);

/// Maximum wait after a failure, without jitter.
const BACKOFF_MAX: Span = Span::new(1_600);

/// Schedules the requests that read and watch the configuration at the platform.
#[derive(Clone, Debug)]
pub struct Source {
    state: State,
    /// Revision up to which all changes are known.
    after: Revision,
    /// Earliest time of the next request.
    due: Timestamp,
    /// Number of consecutive watches and reads that failed or found no configuration.
    failures: u32,
    /// Revision of the last configuration that a check has found.
    checked: Revision,
    /// Earliest time of the next check.
    check_due: Timestamp,
    /// Whether a check is in flight.
    is_checking: bool,
    /// Whether the last response, to a check or another request, was a failure.
    is_doubted: bool,
}

/// Returns the embedded chart.
///
/// # Panics
///
/// Never: a test loads the chart.
pub fn chart() -> &'static Chart {
    static CHART: LazyLock<Chart> = LazyLock::new(|| {
        let text = include_str!("../../../charts/source.jsonc");
        Chart::load("charts/source.jsonc", text).expect("the embedded chart is checked by a test")
    });
    &CHART
}

impl Default for Source {
    fn default() -> Self {
        Self {
            state: chart().initial(),
            after: Revision::default(),
            due: Timestamp::default(),
            failures: 0,
            checked: Revision::default(),
            check_due: Timestamp::default(),
            is_checking: false,
            is_doubted: false,
        }
    }
}

impl Source {
    /// Returns the current state of the chart.
    pub const fn state(&self) -> State {
        self.state
    }

    /// Returns whether the configuration has been read, is not being read again, and the last
    /// response was no failure.
    pub const fn is_synced(&self) -> bool {
        !self.is_doubted && self.is_watched()
    }

    /// Returns whether the last request failed or found no configuration.
    pub const fn is_failing(&self) -> bool {
        self.is_doubted
    }

    /// Returns the requests that are due.
    pub fn tick(&mut self, now: Timestamp, rng: &mut impl Rng) -> SmallVec<[Call; 2]> {
        let mut calls = SmallVec::new();
        if now >= self.due {
            calls.extend(self.step(now, Event::Due, rng));
        }
        if now >= self.check_due && self.is_watched() && !self.is_checking {
            self.is_checking = true;
            calls.push(Call::CheckConfiguration {
                after: self.after.max(self.checked),
                timeout: CHECK_TIMEOUT,
            });
        }
        calls
    }

    /// Processes the outcome of a check: the revision of the last known configuration. Returns the
    /// request that must follow without a wait, if any.
    pub fn checked(
        &mut self,
        now: Timestamp,
        outcome: &Result<Revision, Error>,
        rng: &mut impl Rng,
    ) -> Option<Call> {
        self.is_checking = false;
        self.check_due = now.after(CHECK_INTERVAL);
        self.is_doubted = outcome.is_err();
        match outcome {
            Ok(revision) => {
                self.checked = self.checked.max(*revision);
                None
            }
            // The history that the pending watch needs is gone as well.
            Err(Error::Compacted | Error::Restored) => self.restart(now, rng),
            Err(_) => None,
        }
    }

    /// Returns a read of the configuration that replaces what is known up to a revision, unless one
    /// is in flight or due anyway.
    pub fn restart(&mut self, now: Timestamp, rng: &mut impl Rng) -> Option<Call> {
        self.is_watched()
            .then(|| self.step(now, Event::Compacted, rng))
            .flatten()
    }

    /// Returns whether all changes up to a revision are known.
    const fn is_watched(&self) -> bool {
        matches!(self.state, State::Synced | State::Watching)
    }

    /// Processes the outcome of a request, successful or not, and returns the request that must
    /// follow without a wait, if any.
    pub fn answered(
        &mut self,
        now: Timestamp,
        outcome: &Result<Revision, Error>,
        rng: &mut impl Rng,
    ) -> Option<Call> {
        let event = match outcome {
            Ok(revision) => {
                self.after = *revision;
                self.failures = 0;
                self.check_due = now.after(CHECK_INTERVAL);
                Event::Answered
            }
            // Only a watch names a revision, and a read in flight has replaced it.
            Err(Error::Restored) if self.state == State::Reading => return None,
            Err(Error::Compacted | Error::Restored) => Event::Compacted,
            Err(_) => Event::Failed,
        };
        self.is_doubted = outcome.is_err();
        self.step(now, event, rng)
    }

    /// Takes a step of the chart; returns the request that it makes, if any.
    fn step(&mut self, now: Timestamp, event: Event, rng: &mut impl Rng) -> Option<Call> {
        let step = chart().step(self.state, event, |guard| match guard {});
        self.state = step.to;
        let mut call = None;
        for action in step.actions {
            match action {
                Action::Read => call = Some(Call::ReadConfiguration { at: now }),
                Action::Watch => {
                    call = Some(Call::WatchConfiguration {
                        after: self.after,
                        wait: WATCH_WAIT,
                    });
                }
                Action::Pause => self.due = now.after(CALL_GAP),
                Action::BackOff => {
                    let wait = BACKOFF_MIN.times(1 << self.failures.min(8));
                    self.failures += 1;
                    self.due = now.after(jittered(wait.min(BACKOFF_MAX), rng));
                    self.check_due = self.due;
                }
            }
        }
        call
    }
}

/// Returns `wait` plus up to half of it at random, so that nodes that failed together do not retry
/// together.
pub(crate) fn jittered(wait: Span, rng: &mut impl Rng) -> Span {
    Span::new(wait.get() + rng.random_range(0..=wait.get() / 2))
}
