//! The attempts of one call, driven by the state chart `charts/call.jsonc`.

use std::sync::LazyLock;

use cicadagw_chart::names;
use cicadagw_config::Policy;
use cicadagw_config::policy::Idempotency;

names! {
    /// The state of a call.
    pub enum State {
        /// An endpoint is being chosen; no attempt can have executed the request.
        Choosing = "choosing",
        /// An attempt is in flight; no earlier attempt can have executed the request.
        Trying = "trying",
        /// An endpoint is being chosen; an earlier attempt may have executed the request.
        Rechoosing = "rechoosing",
        /// An attempt is in flight; an earlier one may have executed the request.
        Retrying = "retrying",
        /// The backend server's response goes to the caller.
        Answered = "answered",
        /// The caller is told that the request was not executed.
        NotRun = "not-run",
        /// The caller is told that the request may have been executed.
        Unknown = "unknown",
    }
}

names! {
    /// An event that drives the state of a call.
    pub enum Event {
        /// An endpoint was chosen for the next attempt.
        Chosen = "chosen",
        /// No endpoint is available for another attempt.
        NoEndpoint = "no-endpoint",
        /// The backend server responded.
        Answer = "answer",
        /// The target accepts no calls at all: it drains, is gone or cannot be reached. The request
        /// was not executed.
        Leaving = "leaving",
        /// The backend server executed the request and responded with a server error.
        Failed = "failed",
        /// Admission control at the target's node shed the call; the backend server did not see it.
        /// Not the event `shed`, by which the backend server itself refuses a call.
        Full = "full",
        /// The backend server itself refused the call because it is overloaded.
        Shed = "shed",
        /// The target refused the call for a reason that applies at every endpoint.
        Refused = "refused",
        /// The attempt failed after part of the request was sent, so it may have been executed.
        Lost = "lost",
        /// The deadline of the call expired.
        Deadline = "deadline",
    }
}

names! {
    /// A condition for another attempt. All of them also require that the request can be sent
    /// again.
    pub enum Guard {
        /// The call has not used up its reroutes.
        CanReroute = "can-reroute",
        /// An attempt is left, and the retry budget covers it.
        CanRetry = "can-retry",
        /// As `can-retry`, and the call is idempotent, so that it may be executed a second time.
        CanRepeat = "can-repeat",
    }
}

names! {
    /// An action that a transition asks for.
    pub enum Action {
        /// Choose an endpoint that was not tried yet.
        Choose = "choose",
        /// Send the request to the chosen endpoint; this uses up one attempt.
        Send = "send",
        /// Withdraw a retry from the retry budget.
        Spend = "spend-retry",
        /// Forward the response to the caller.
        ForwardResponse = "forward-response",
        /// Tell the caller that the request was not executed.
        ReplyNotRun = "reply-not-run",
        /// Tell the caller that the request may have been executed.
        ReplyUnknown = "reply-unknown",
    }
}

/// How often a call is rerouted away from targets that are leaving or unreachable. Reroutes do not
/// count as attempts, so this bound ends a call for which no endpoint is available.
pub const REROUTES_MAX: u8 = 16;

/// How many reroutes a target that sheds the call costs. Endpoints are chosen by their known load,
/// so after a few full ones the others are likely full as well; with this cost, a call tries five
/// full endpoints at most.
const FULL_REROUTE_COST: u8 = 4;

/// The state chart of a call.
pub type Chart = cicadagw_chart::Chart<State, Event, Guard, Action>;

/// Returns the state chart of a call, parsed once.
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

/// Conditions that are evaluated at the time of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Conditions {
    /// Whether the whole request is still buffered and can be sent again.
    pub replayable: bool,
    /// Whether the retry budget covers one more retry.
    pub can_spend: bool,
}

/// The state of one call and what is left of its limits on attempts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempts {
    state: State,
    /// How many attempts may still be made.
    remaining: u8,
    /// How many reroutes are left, see [`REROUTES_MAX`].
    reroutes_left: u8,
    /// Whether the call may be executed more than once.
    idempotent: bool,
}

impl Attempts {
    /// Creates the state of a call with `method` under `policy`.
    pub fn new(policy: &Policy, method: &str) -> Self {
        Self {
            state: chart().initial(),
            remaining: policy.attempts,
            reroutes_left: REROUTES_MAX,
            idempotent: is_idempotent(policy.idempotency, method),
        }
    }

    /// Returns the state of the call.
    pub const fn state(&self) -> State {
        self.state
    }

    /// Returns whether the call may be hedged: it is idempotent and has an attempt left.
    pub const fn may_hedge(&self) -> bool {
        self.idempotent && self.remaining > 0
    }

    /// Counts a hedged attempt, which runs alongside the one in flight.
    pub const fn count_hedge(&mut self) {
        self.remaining = self.remaining.saturating_sub(1);
    }

    /// Applies `event` and returns the actions to execute, in order.
    pub fn step(&mut self, event: Event, conditions: Conditions) -> &'static [Action] {
        let transition = chart().step(self.state, event, |guard| self.holds(guard, conditions));
        self.state = transition.to;
        if transition.actions.contains(&Action::Send) {
            self.remaining = self.remaining.saturating_sub(1);
        }
        let cost = match event {
            Event::Leaving => 1,
            Event::Full => FULL_REROUTE_COST,
            _ => 0,
        };
        if cost > 0 && transition.actions.contains(&Action::Choose) {
            self.remaining += 1;
            self.reroutes_left = self.reroutes_left.saturating_sub(cost);
        }
        transition.actions
    }

    /// Returns whether `guard` holds under `conditions`.
    fn holds(self, guard: Guard, conditions: Conditions) -> bool {
        let can_retry = self.remaining > 0 && conditions.can_spend;
        conditions.replayable
            && match guard {
                Guard::CanReroute => self.reroutes_left > 0,
                Guard::CanRetry => can_retry,
                Guard::CanRepeat => can_retry && self.idempotent,
            }
    }
}

/// Returns whether a call with `method` is idempotent, and so may be executed more than once.
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
