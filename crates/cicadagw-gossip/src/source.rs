//! The way to the newest configuration at the platform, as `charts/source.jsonc` lays it down.

use std::sync::LazyLock;

use cicadagw_chart::names;
use cicadagw_platform::{Error, Revision};
use cicadagw_unit::time::{Span, Timestamp};
use rand::{Rng, RngExt};

use crate::Call;

names! {
    /// Where the following stands.
    pub enum State {
        /// Nothing was read yet.
        Unread = "unread",
        /// The configuration is being read.
        Reading = "reading",
        /// All is known up to a revision.
        Followed = "followed",
        /// A change is waited for.
        Following = "following",
    }
}

names! {
    /// What happens.
    pub enum Event {
        /// The time of the next call has come.
        Due = "due",
        /// The call was answered.
        Answered = "answered",
        /// The platform has dropped the history asked for.
        Forgotten = "forgotten",
        /// The call failed.
        Failed = "failed",
    }
}

names! {
    /// No rule of this chart has a guard.
    pub enum Guard {}
}

names! {
    /// What is to be done.
    pub enum Action {
        /// Read the configuration.
        Read = "read",
        /// Wait for a change.
        Follow = "follow",
        /// Let some time pass before the next call.
        Rest = "rest",
        /// Let more time pass with every failure.
        BackOff = "back-off",
    }
}

/// The chart of the following.
pub type Chart = cicadagw_chart::Chart<State, Event, Guard, Action>;

/// The least time between an answer and the next call: with the way from node to node behind it, a
/// change is in force well within the 2.5 s that operators expect.
const REST: Span = Span::new(500);

/// How long the platform may hold a call back for a change. Platforms keep about 20 s of history, and
/// a silent connection is found out no sooner.
const WAIT: Span = Span::seconds(10);

/// The first wait after a failure.
const BACK_OFF: Span = Span::new(200);

/// The longest wait after a failure.
const BACK_OFF_MAX: Span = Span::new(1_600);

/// The way to the newest configuration.
#[derive(Clone, Debug)]
pub struct Source {
    state: State,
    after: Revision,
    due: Timestamp,
    failures: u32,
}

/// Returns the chart of the following.
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
        }
    }
}

impl Source {
    /// Returns where the following stands.
    pub const fn state(&self) -> State {
        self.state
    }

    /// Tells whether the platform has answered and the last call did not fail.
    pub const fn is_following(&self) -> bool {
        self.failures == 0 && matches!(self.state, State::Followed | State::Following)
    }

    /// Tells whether the last call failed.
    pub const fn is_away(&self) -> bool {
        self.failures > 0
    }

    /// Returns the call that is due, if one is.
    pub fn tick(&mut self, now: Timestamp, rng: &mut impl Rng) -> Option<Call> {
        if now < self.due {
            return None;
        }
        self.step(now, Event::Due, rng)
    }

    /// Takes the answer to a call, and returns the call that follows at once, if one does.
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
                Event::Answered
            }
            Err(Error::Compacted) => Event::Forgotten,
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
                Action::Read => call = Some(Call::Read),
                Action::Follow => {
                    call = Some(Call::Watch {
                        after: self.after,
                        wait: WAIT,
                    });
                }
                Action::Rest => self.due = now.after(REST),
                Action::BackOff => {
                    let wait = BACK_OFF.times(1 << self.failures.min(8));
                    self.failures += 1;
                    self.due = now.after(jittered(wait.min(BACK_OFF_MAX), rng));
                }
            }
        }
        call
    }
}

/// Returns `wait`, or up to a half more, so that nodes that failed together do not come together.
pub(crate) fn jittered(wait: Span, rng: &mut impl Rng) -> Span {
    Span::new(wait.get() + rng.random_range(0..=wait.get() / 2))
}
