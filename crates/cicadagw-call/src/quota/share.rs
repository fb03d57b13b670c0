//! A node's share of one quota: the tokens that it holds, and the requests for more.

use cicadagw_chart::names;
use cicadagw_unit::id;
use cicadagw_unit::rate::{CallRate, Tokens};
use cicadagw_unit::time::{Span, Timestamp};
use smallvec::SmallVec;

use super::chart::{Event, State, chart};
use super::demand::Demand;
use super::holding::{Asked, Holding, Status, Supply};
use super::{Answer, Ask, Grant, Request};
use crate::{Reason, Returns};

/// The time for whose calls a node holds tokens, in milliseconds.
const AHEAD_MS: u64 = 1_000;

/// The share of these tokens below which the node asks for more, as a divisor.
const AHEAD_LOW_DIVISOR: u32 = 3;

/// The time for whose calls a node that is short asks each owner for tokens, in milliseconds.
const SHORT_MS: u64 = 300;

/// The most tokens that a node asks an owner for at once.
const ASK_MAX: u64 = 10_000;

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

names! {
    /// Why a call does not get a token.
    pub enum Refusal {
        /// The account has used its quota up.
        Over = "over",
        /// No owner of the quota answers.
        Unknown = "unknown",
    }
}

impl Refusal {
    /// Returns the reason with which the call is refused.
    pub const fn reason(self) -> Reason {
        match self {
            Self::Over => Reason::OverQuota,
            Self::Unknown => Reason::QuotaUnknown,
        }
    }
}

/// What happens to a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The call gets no token. Its caller may come back after `retry_in`, if that is known.
    Refused {
        /// Why it gets none.
        refusal: Refusal,
        /// When the quota is likely to allow the call.
        retry_in: Option<Span>,
    },
    /// The call has taken a token.
    Taken(Ticket),
    /// The call waits for an answer of an owner; see [`Share::next_change`].
    Wait,
}

/// A token that a call has taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// The index of the part that the token belongs to.
    part: usize,
    taken: Timestamp,
}

/// A node's share of one quota.
#[derive(Clone, Debug)]
pub struct Share {
    /// When an owner was asked last.
    asked: Timestamp,
    /// The calls that arrive.
    demand: Demand,
    /// What the node holds of each part, nearest owner first.
    holdings: SmallVec<[Holding; 4]>,
    /// When a change of the state was reported last.
    reported: Timestamp,
    /// The state that was reported last.
    reported_state: State,
    returns: Returns,
    state: State,
    /// The tokens that arrive.
    supply: Demand,
    used: Timestamp,
    /// How many calls wait for a token.
    waiting: u32,
}

impl Share {
    /// Creates the share of a quota that is divided into `parts` parts.
    pub fn new(parts: u16) -> Self {
        Self {
            asked: Timestamp::default(),
            demand: Demand::default(),
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
    pub(super) fn change(&mut self, now: Timestamp) -> Option<State> {
        let is_due = now.since(self.reported) >= REPORT_INTERVAL_MIN;
        if self.state == self.reported_state || !is_due {
            return None;
        }
        self.reported = now;
        self.reported_state = self.state;
        Some(self.state)
    }

    /// Returns whether the share is unused and may be forgotten.
    pub(super) fn is_idle(&self, now: Timestamp) -> bool {
        self.waiting == 0 && now.since(self.used) >= IDLE_MAX
    }

    /// Adapts the share to another number of parts.
    pub(super) fn set_parts(&mut self, parts: u16) {
        self.holdings.resize(usize::from(parts), Holding::default());
    }

    /// Decides about a call that has just arrived.
    pub fn arrive(&mut self, now: Timestamp) -> Decision {
        self.used = now;
        self.demand.add(now, 1);
        if now.since(self.asked) >= ANSWERS_VALID {
            self.step(Event::Outdated);
        }
        // Tokens for which calls wait are theirs.
        if self.tokens(now) > self.waiting
            && let Some(ticket) = self.take(now)
        {
            return Decision::Taken(ticket);
        }
        let decision = self.settle(now);
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
            None => self.settle(now),
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
        let holding = self.holdings.get_mut(ticket.part);
        now.since(ticket.taken) < GIVE_BACK_MAX
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
                let tokens = tokens.get();
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

    /// Returns the requests that are due, numbered from `number` on.
    pub(super) fn requests(
        &mut self,
        now: Timestamp,
        account: &id::Account,
        number: &mut u64,
    ) -> SmallVec<[Request; 2]> {
        let mut requests = SmallVec::new();
        for part in 0..self.holdings.len() {
            let Some((waiting, ahead)) = self.wanted(now, part) else {
                continue;
            };
            *number += 1;
            let holding = &mut self.holdings[part];
            let asked = Asked {
                ahead,
                at: now,
                held: holding.tokens(now),
                number: *number,
                waiting,
            };
            holding.ask(asked);
            self.asked = now;
            requests.push(Request {
                ask: Ask {
                    account: account.clone(),
                    ahead: Tokens::new(ahead),
                    held: Tokens::new(asked.held),
                    number: *number,
                    waiting: Tokens::new(waiting),
                },
                part: u16::try_from(part).unwrap_or(u16::MAX),
            });
        }
        requests
    }

    /// Returns how many tokens the owner of a part is to be asked for now, for waiting calls and ahead
    /// of others; `None` if it is not to be asked.
    fn wanted(&mut self, now: Timestamp, part: usize) -> Option<(u32, u32)> {
        let status = self.holdings[part].status(now);
        if status == Status::Silent {
            // An owner that is back may have tokens for the calls that arrive next.
            let is_due = self.holdings[part].is_probe_due(now);
            return is_due.then_some((0, 1));
        }
        if status != Status::Ready {
            return None;
        }
        match self.state {
            State::Open => self.wanted_while_open(now, part),
            State::Short | State::Silent => {
                let is_due = self.holdings[part].is_ahead_due(now);
                is_due.then(|| (0, self.expected(now, SHORT_MS).max(1)))
            }
        }
    }

    fn wanted_while_open(&mut self, now: Timestamp, part: usize) -> Option<(u32, u32)> {
        let pending = |count: fn(Asked) -> u32| {
            let asked = self.holdings.iter().filter_map(|holding| {
                let asked = holding.asked()?;
                (holding.peek(now) == Status::Pending).then(|| count(asked))
            });
            asked.fold(0, u32::saturating_add)
        };
        let held = self.tokens(now);
        let waiting_lack = self
            .waiting
            .saturating_sub(held.saturating_add(pending(|asked| asked.waiting)));
        let coming = held.saturating_add(pending(|asked| asked.ahead));
        // A single call is no sign of further ones at this node.
        let target = self.expected(now, AHEAD_MS).saturating_sub(1);
        let is_low = coming <= target / AHEAD_LOW_DIVISOR && target > 0;
        let ahead_lack = if is_low && self.holdings[part].is_ahead_due(now) {
            target.saturating_sub(coming)
        } else {
            0
        };
        (waiting_lack > 0 || ahead_lack > 0).then_some((waiting_lack, ahead_lack))
    }

    /// Returns how many calls are expected to arrive in the next milliseconds.
    fn expected(&mut self, now: Timestamp, milliseconds: u64) -> u32 {
        let calls = self.demand.rate(now).milli() * milliseconds / 1_000_000;
        u32::try_from(calls.min(ASK_MAX)).unwrap_or(u32::MAX)
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
    fn settle(&mut self, now: Timestamp) -> Decision {
        let statuses: SmallVec<[Status; 4]> = self
            .holdings
            .iter_mut()
            .map(|holding| holding.status(now))
            .collect();
        let is_any = |status| statuses.contains(&status);
        if self.state == State::Open {
            if is_any(Status::Pending) || is_any(Status::Late) || is_any(Status::Ready) {
                return Decision::Wait;
            }
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
