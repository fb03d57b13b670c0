//! The attempts of one call, as `charts/call.jsonc` lays them down.

use std::sync::LazyLock;

use cicadagw_chart::names;
use cicadagw_config::Policy;
use cicadagw_config::policy::Idempotency;

names! {
    /// Where a call stands.
    pub enum State {
        /// An endpoint is to be chosen; nothing can have run.
        Choosing = "choosing",
        /// An attempt is under way; none before it can have run.
        Trying = "trying",
        /// An endpoint is to be chosen; an earlier attempt may have run.
        Rechoosing = "rechoosing",
        /// An attempt is under way; an earlier one may have run.
        Retrying = "retrying",
        /// The caller gets the backend server's answer.
        Answered = "answered",
        /// The caller is told that nothing ran.
        NotRun = "not-run",
        /// The caller is told that the request may have run.
        Unknown = "unknown",
    }
}

names! {
    /// What happens to a call.
    pub enum Event {
        /// An endpoint was chosen.
        Chosen = "chosen",
        /// No endpoint can be chosen.
        NoEndpoint = "no-endpoint",
        /// The backend server answered.
        Answer = "answer",
        /// The target refused since it takes no calls at all.
        Leaving = "leaving",
        /// The backend server answered that it failed.
        Failed = "failed",
        /// The target has no room for the call; its backend server was not asked.
        Full = "full",
        /// The backend server refused since it has too many calls.
        Shed = "shed",
        /// The target refused for a reason that holds everywhere.
        Refused = "refused",
        /// The attempt failed after the request had begun to go out.
        Lost = "lost",
        /// The time for the call is over.
        Deadline = "deadline",
    }
}

names! {
    /// What must be true for another attempt; for each, the request can be sent again.
    pub enum Guard {
        /// The call was not sent on too often yet.
        Elsewhere = "elsewhere",
        /// Attempts are left, and the retry budget pays for one.
        Again = "again",
        /// As `again`, and the call is idempotent.
        Repeat = "repeat",
    }
}

names! {
    /// What is to be done for a call.
    pub enum Action {
        /// Choose an endpoint that was not tried yet.
        Choose = "choose",
        /// Send the request to the chosen endpoint.
        Send = "send",
        /// Take a retry from the budget.
        Spend = "spend",
        /// Pass the answer on.
        ForwardResponse = "forward-response",
        /// Tell the caller that nothing ran.
        ReplyNotRun = "reply-not-run",
        /// Tell the caller that the request may have run.
        ReplyUnknown = "reply-unknown",
    }
}

/// How often a call is sent on by targets that leave or cannot be reached. These do not count as
/// attempts; the bound only ends a call that finds nobody at all.
pub const MOVES_MAX: u8 = 16;

/// How many moves it costs that a target has no room: loads are known, so a few tries tell.
const FULL_COST: u8 = 8;

/// The chart of a call.
pub type Chart = cicadagw_chart::Chart<State, Event, Guard, Action>;

/// Returns the chart of a call.
pub fn chart() -> &'static Chart {
    static CHART: LazyLock<Chart> = LazyLock::new(|| {
        Chart::load(
            "charts/call.jsonc",
            include_str!("../../../charts/call.jsonc"),
        )
        .expect("the embedded chart is checked by a test")
    });
    &CHART
}

/// What only the moment of an event tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Conditions {
    /// The whole request is still there to be sent again.
    pub replayable: bool,
    /// The retry budget pays for one more attempt.
    pub can_spend: bool,
}

/// One call and its attempts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempts {
    state: State,
    /// How many attempts are left.
    left: u8,
    /// How often it may still be sent on by targets that leave.
    moves: u8,
    idempotent: bool,
}

impl Attempts {
    /// Creates a call that is treated by `policy`.
    pub fn new(policy: &Policy, method: &str) -> Self {
        Self {
            state: chart().initial(),
            left: policy.attempts,
            moves: MOVES_MAX,
            idempotent: is_idempotent(policy.idempotency, method),
        }
    }

    /// Returns where the call stands.
    pub const fn state(&self) -> State {
        self.state
    }

    /// Tells whether the call may run again, and has an attempt left for it.
    pub const fn may_hedge(&self) -> bool {
        self.idempotent && self.left > 0
    }

    /// Takes note of an attempt that is made beside the one under way.
    pub const fn count_hedge(&mut self) {
        self.left = self.left.saturating_sub(1);
    }

    /// Takes `event` in and returns what is to be done.
    pub fn step(&mut self, event: Event, facts: Conditions) -> &'static [Action] {
        let step = chart().step(self.state, event, |guard| self.holds(guard, facts));
        self.state = step.to;
        if step.actions.contains(&Action::Send) {
            self.left = self.left.saturating_sub(1);
        }
        let cost = match event {
            Event::Leaving => 1,
            Event::Full => FULL_COST,
            _ => 0,
        };
        if cost > 0 && step.actions.contains(&Action::Choose) {
            self.left += 1;
            self.moves = self.moves.saturating_sub(cost);
        }
        step.actions
    }

    fn holds(self, guard: Guard, facts: Conditions) -> bool {
        let again = self.left > 0 && facts.can_spend;
        facts.replayable
            && match guard {
                Guard::Elsewhere => self.moves > 0,
                Guard::Again => again,
                Guard::Repeat => again && self.idempotent,
            }
    }
}

/// Tells whether a call with `method` may run more than once.
pub fn is_idempotent(rule: Idempotency, method: &str) -> bool {
    match rule {
        Idempotency::Always => true,
        Idempotency::Never => false,
        Idempotency::ByMethod => matches!(
            method,
            "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE"
        ),
    }
}
