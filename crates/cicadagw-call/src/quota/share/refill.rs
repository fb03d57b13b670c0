//! When a node asks the owners of a quota for tokens, and for how many.

use cicadagw_unit::id;
use cicadagw_unit::rate::Tokens;
use cicadagw_unit::time::Timestamp;
use smallvec::SmallVec;

use super::Share;
use crate::quota::chart::State;
use crate::quota::holding::{Asked, Holding, Status};
use crate::quota::{Ask, Request};

/// The time for whose calls a node holds tokens, in milliseconds.
const AHEAD_MS: u64 = 1_000;

/// The share of these tokens below which the node asks for more, as a divisor.
const AHEAD_LOW_DIVISOR: u32 = 3;

/// The time for whose calls a node that is short asks each owner for tokens, in milliseconds.
pub(super) const SHORT_MS: u64 = 300;

/// The most tokens that a node asks an owner for at once.
const ASK_MAX: u64 = 10_000;

impl Share {
    /// Returns the requests that are due, numbered from `number` on.
    pub(in crate::quota) fn requests(
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
            State::Short | State::Silent => self.wanted_while_short(now, part),
        }
    }

    fn wanted_while_open(&mut self, now: Timestamp, part: usize) -> Option<(u32, u32)> {
        let held = self.tokens(now);
        let coming = held.saturating_add(self.pending(now, |asked| asked.waiting));
        let waiting = self.waiting.saturating_sub(coming);
        let coming = held.saturating_add(self.pending(now, |asked| asked.ahead));
        // A single call is no sign of further ones at this node.
        let target = self.expected(now, AHEAD_MS).saturating_sub(1);
        let is_low = coming <= target / AHEAD_LOW_DIVISOR;
        let ahead = if is_low && self.holdings[part].is_ahead_due(now) {
            target.saturating_sub(coming)
        } else {
            0
        };
        (waiting > 0 || ahead > 0).then_some((waiting, ahead))
    }

    /// Where few calls arrive, the owners are asked one after the other for a single token.
    fn wanted_while_short(&mut self, now: Timestamp, part: usize) -> Option<(u32, u32)> {
        let is_asked = self.pending(now, |asked| asked.ahead) > 0;
        let least = u32::from(!is_asked);
        let ahead = self.expected(now, SHORT_MS).max(least);
        (ahead > 0 && self.holdings[part].is_ahead_due(now)).then_some((0, ahead))
    }

    /// Returns the sum of what owners that are about to answer have been asked for.
    fn pending(&self, now: Timestamp, number: fn(Asked) -> u32) -> u32 {
        let pending = self
            .holdings
            .iter()
            .filter(|holding| holding.peek(now) == Status::Pending);
        let asked = pending.filter_map(Holding::asked).map(number);
        asked.fold(0, u32::saturating_add)
    }

    /// Returns how many calls are expected to arrive in the next milliseconds.
    pub(super) fn expected(&mut self, now: Timestamp, milliseconds: u64) -> u32 {
        let calls = self.demand.rate(now).milli() * milliseconds / 1_000_000;
        u32::try_from(calls.min(ASK_MAX)).unwrap_or(u32::MAX)
    }
}
