//! A node's share of one quota: the tokens that it holds, and the calls that wait for more.

use cicadagw_unit::rate::CallRate;
use cicadagw_unit::time::{Span, Timestamp};
use smallvec::SmallVec;

use super::refill::SHORT_MS;
use super::{Decision, Refusal, Ticket};
use crate::Returns;
use crate::quota::chart::{Event, State, chart};
use crate::quota::demand::Demand;
use crate::quota::holding::{Holding, Status, Supply};
use crate::quota::{Answer, Grant};

/// The time without a request after which the answers to earlier ones tell nothing any more.
const ANSWERS_VALID: Span = Span::seconds(1);

/// How long a call waits for a token at most.
const WAIT_MAX: Span = Span::new(500);

/// How long after it was taken a token may be given back. A token that is given back later could be
/// spent in another window than the one it was created for.
const GIVE_BACK_MAX: Span = Span::new(200);

/// Minimum time between two reports of changes of the state.
const REPORT_INTERVAL_MIN: Span = Span::seconds(5);

/// The time after which an unused share is forgotten.
const IDLE_MAX: Span = Span::seconds(10);

/// Whether a call has just arrived, or waits already.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Arrival {
    New,
    Waiting,
}

/// A node's share of one quota.
#[derive(Clone, Debug)]
pub struct Share {
    /// When an owner was asked last.
    pub(super) asked: Timestamp,
    /// The calls that arrive.
    pub(super) demand: Demand,
    /// When the number of parts changed last, if it has.
    divided: Option<Timestamp>,
    /// What the node holds of each part, nearest owner first.
    pub(super) holdings: SmallVec<[Holding; 4]>,
    /// When a change of the state was reported last.
    reported: Timestamp,
    /// The state that was reported last.
    reported_state: State,
    returns: Returns,
    pub(super) state: State,
    /// The tokens that arrive.
    supply: Demand,
    used: Timestamp,
    /// How many calls wait for a token.
    pub(super) waiting: u32,
}

impl Share {
    /// Creates the share of a quota that is divided into `parts` parts.
    pub fn new(parts: u16) -> Self {
        Self {
            asked: Timestamp::default(),
            demand: Demand::default(),
            divided: None,
            holdings: SmallVec::from_elem(Holding::default(), usize::from(parts)),
            reported: Timestamp::default(),
            reported_state: chart().initial(),
            returns: Returns::default(),
            state: chart().initial(),
            supply: Demand::default(),
            used: Timestamp::default(),
            waiting: 0,
        }
    }

    /// Returns what is known of the quota.
    pub const fn state(&self) -> State {
        self.state
    }

    /// Returns the number of tokens that may be spent.
    pub fn tokens(&self, now: Timestamp) -> u32 {
        let held = self.holdings.iter().map(|holding| holding.tokens(now));
        held.fold(0, u32::saturating_add)
    }

    /// Returns the state if it differs from the one that was returned last, at most once in
    /// [`REPORT_INTERVAL_MIN`].
    pub(in crate::quota) fn change(&mut self, now: Timestamp) -> Option<State> {
        let is_due = now.since(self.reported) >= REPORT_INTERVAL_MIN;
        if self.state == self.reported_state || !is_due {
            return None;
        }
        self.reported = now;
        self.reported_state = self.state;
        Some(self.state)
    }

    /// Returns whether the share is unused and may be forgotten.
    pub(in crate::quota) fn is_idle(&self, now: Timestamp) -> bool {
        self.waiting == 0 && now.since(self.used) >= IDLE_MAX
    }

    /// Adapts the share to another number of parts. The owners of parts change with their number, so
    /// what was held of them is lost.
    pub(in crate::quota) fn set_parts(&mut self, now: Timestamp, parts: u16) {
        let parts = usize::from(parts);
        if parts != self.holdings.len() {
            self.holdings = SmallVec::from_elem(Holding::default(), parts);
            self.divided = Some(now);
        }
    }

    /// Decides about a call that has just arrived. While the account is short of tokens, they go to
    /// calls that can still meet their latency target; one that `is_late` gets a token only if those
    /// held are more than the calls expected before the next ones.
    pub fn arrive(&mut self, now: Timestamp, is_late: bool) -> Decision {
        self.used = now;
        if now.since(self.asked) >= ANSWERS_VALID {
            self.step(Event::Outdated);
        }
        if is_late && self.state == State::Short {
            let needed = self.expected(now, SHORT_MS).saturating_add(self.waiting);
            if self.tokens(now) <= needed {
                return self.refuse(now, Refusal::Over);
            }
        } else {
            self.demand.add(now, 1);
        }
        // Tokens for which calls wait are theirs.
        if self.tokens(now) > self.waiting
            && let Some(ticket) = self.take(now)
        {
            return Decision::Taken(ticket);
        }
        let decision = self.settle(now, Arrival::New);
        if decision == Decision::Wait {
            self.waiting += 1;
        }
        decision
    }

    /// Decides about a call that arrived at `arrived` and has waited since.
    pub fn wait(&mut self, now: Timestamp, arrived: Timestamp) -> Decision {
        let decision = match self.take(now) {
            Some(ticket) => Decision::Taken(ticket),
            None if now.since(arrived) >= WAIT_MAX => self.refuse(now, Refusal::Unknown),
            None => self.settle(now, Arrival::Waiting),
        };
        if decision != Decision::Wait {
            self.leave();
        }
        decision
    }

    /// Records that a waiting call has been given up.
    pub fn leave(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Puts back the token of a call that has not run; returns whether it can be spent again.
    pub fn give_back(&mut self, now: Timestamp, ticket: Ticket) -> bool {
        let is_of_part = self.divided.is_none_or(|divided| ticket.taken > divided);
        let holding = self.holdings.get_mut(ticket.part);
        is_of_part
            && now.since(ticket.taken) < GIVE_BACK_MAX
            && holding.is_some_and(|holding| holding.give_back(now))
    }

    /// Records the answer of an owner; returns the number of tokens granted.
    pub fn grant(&mut self, now: Timestamp, grant: &Grant) -> u32 {
        let waiting = self.waiting;
        let matches = |holding: &&mut Holding| {
            let asked = holding.asked();
            asked.is_some_and(|asked| asked.number == grant.number)
        };
        let Some(holding) = self.holdings.iter_mut().find(matches) else {
            return 0;
        };
        let Some(asked) = holding.asked() else {
            return 0;
        };
        match grant.answer {
            Answer::Elsewhere => {
                holding.refer(now);
                0
            }
            Answer::Granted {
                is_dry,
                pace,
                tokens,
            } => {
                // An answer never gives more than was asked for.
                let wanted = asked.waiting.saturating_add(asked.ahead);
                let tokens = tokens.get().min(wanted);
                let supply = Supply {
                    is_dry,
                    pace,
                    tokens,
                };
                holding.supply(now, asked, supply, waiting);
                self.supply.add(now, tokens);
                self.step(if is_dry { Event::Answered } else { Event::Met });
                tokens
            }
        }
    }

    /// Takes a token from the part whose tokens come first.
    fn take(&mut self, now: Timestamp) -> Option<Ticket> {
        let part = self
            .holdings
            .iter_mut()
            .position(|holding| holding.take(now))?;
        Some(Ticket { part, taken: now })
    }

    /// Decides about a call for which there is no token.
    fn settle(&mut self, now: Timestamp, arrival: Arrival) -> Decision {
        let statuses: SmallVec<[Status; 4]> = self
            .holdings
            .iter_mut()
            .map(|holding| holding.status(now))
            .collect();
        let is_any = |status| statuses.contains(&status);
        let is_asked = is_any(Status::Pending) || is_any(Status::Late);
        let may_wait = match (self.state, arrival) {
            (State::Open, _) | (_, Arrival::Waiting) => is_asked || is_any(Status::Ready),
            // One call at a time waits while the owners are asked again; the others are refused.
            (_, Arrival::New) => self.waiting == 0 && is_any(Status::Ready),
        };
        if may_wait {
            return Decision::Wait;
        }
        if self.state == State::Open {
            self.step(if is_any(Status::Dry) {
                Event::Unmet
            } else {
                Event::Unanswered
            });
        } else if statuses.iter().all(|status| *status == Status::Silent) {
            self.step(Event::Unanswered);
        }
        let refusal = match self.state {
            State::Open | State::Short => Refusal::Over,
            State::Silent => Refusal::Unknown,
        };
        self.refuse(now, refusal)
    }

    /// Refuses a call. Callers over the quota are asked to come back one after the other, as fast as
    /// this node gets tokens.
    fn refuse(&mut self, now: Timestamp, refusal: Refusal) -> Decision {
        let retry_in = match refusal {
            Refusal::Over => {
                let rate = self.supply.rate(now).max(CallRate::from_milli(1));
                Some(self.returns.next(now, rate))
            }
            Refusal::Unknown => None,
        };
        Decision::Refused { refusal, retry_in }
    }

    /// Returns when a waiting call has to be decided about again if no answer arrives before.
    pub fn next_change(&self, now: Timestamp) -> Timestamp {
        let changes = self.holdings.iter();
        let next = changes.filter_map(|holding| holding.next_change(now)).min();
        next.unwrap_or_else(|| now.after(WAIT_MAX))
    }

    fn step(&mut self, event: Event) {
        self.state = chart().step(self.state, event, |guard| match guard {}).to;
    }
}
