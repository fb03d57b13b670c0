//! The shares of client accounts in the calls to one backend server.

use std::collections::BTreeMap;

use cicadagw_unit::id;
use cicadagw_unit::time::{Span, Timestamp};

/// How often older calls lose weight.
const TICK: Span = Span::new(250);

/// The parts of its weight that a recent call and a usual one lose in each tick. The weights add up
/// to the calls of about 1 s and 16 s.
const RECENT_DECAY: u64 = 4;
const USUAL_DECAY: u64 = 64;

/// The weight of one call, so that rounding loses little.
const CALL: u64 = 1_000;

/// Calls of an account beyond this multiple of its usual share are excess.
const EXCESS_FACTOR: u64 = 2;

/// The weight of recent calls up to which an account has no excess: single calls that happen to come
/// together.
const EXCESS_MIN: u64 = 8 * CALL;

/// How long calls are observed before any counts as excess.
const LEARNING: Span = Span::seconds(8);

/// The calls of each client account, recently and usually.
///
/// An account's part is what it usually sends, grown as much as what all others send, or the average
/// over all accounts if that is more. It does not depend on the connections or nodes that the calls
/// come by.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    by_account: BTreeMap<id::Account, Share>,
    all: Share,
    /// The time, in milliseconds, whose calls the weights of recent and usual calls add up to.
    recent_window: u64,
    usual_window: u64,
    started: Option<Timestamp>,
    ticked: Timestamp,
}

/// The weights of the calls of one account, or of all.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    recent: u64,
    /// Without excess calls, so that an account does not get used to sending too much.
    usual: u64,
    /// The part of a call, out of [`CALL`], by which the account has not used up its part.
    credit: u64,
}

impl Shares {
    /// Counts a call of `account`; returns whether it is beyond the account's part of the calls.
    pub(super) fn count(&mut self, now: Timestamp, account: Option<&id::Account>) -> bool {
        let Some(account) = account else {
            return false;
        };
        let started = *self.started.get_or_insert(now);
        self.tick(now);
        let mut share = self.by_account.get(account).copied().unwrap_or_default();
        share.recent += CALL;
        self.all.recent += CALL;
        let part = self.part(share);
        let is_excess = now.since(started) >= LEARNING
            && share.recent > part.max(EXCESS_MIN)
            && !share.spend(part);
        if !is_excess {
            share.usual += CALL;
            self.all.usual += CALL;
        }
        self.by_account.insert(account.clone(), share);
        is_excess
    }

    /// Returns the weight of recent calls up to which an account has no excess.
    fn part(&self, share: Share) -> u64 {
        let accounts = self.by_account.len().max(1) as u64;
        let usual = share.usual.max(self.all.usual / accounts);
        let others = self.all.recent.saturating_sub(share.recent);
        let others_usual = self.all.usual.saturating_sub(share.usual);
        // The growth of the calls of all others is that of `others` over this, at least one.
        let others_expected = self.expected(others_usual).max(1);
        let growth = others.max(others_expected);
        EXCESS_FACTOR * self.expected(usual) * growth / others_expected
    }

    /// Returns the weight of recent calls that corresponds to the weight `usual` of usual ones.
    const fn expected(&self, usual: u64) -> u64 {
        match usual.checked_mul(self.recent_window) {
            Some(product) if self.usual_window > 0 => product / self.usual_window,
            _ => usual,
        }
    }

    fn tick(&mut self, now: Timestamp) {
        if self.recent_window == 0 {
            self.ticked = now;
            (self.recent_window, self.usual_window) = (TICK.get(), TICK.get());
        }
        while now.since(self.ticked) >= TICK {
            self.ticked = self.ticked.after(TICK);
            self.recent_window += TICK.get() - self.recent_window / RECENT_DECAY;
            self.usual_window += TICK.get() - self.usual_window / USUAL_DECAY;
            self.all.decay();
            self.by_account.retain(|_, share| {
                share.decay();
                share.usual > 0
            });
        }
    }
}

impl Share {
    const fn decay(&mut self) {
        self.recent -= self.recent / RECENT_DECAY;
        self.usual -= self.usual.div_ceil(USUAL_DECAY);
    }

    /// Spends one call of the `part` that the account has of its recent calls; returns whether
    /// there is one to spend. Regular and excess calls alternate evenly.
    const fn spend(&mut self, part: u64) -> bool {
        self.credit += CALL * part / self.recent;
        let has_call = self.credit >= CALL;
        if has_call {
            self.credit -= CALL;
        }
        has_call
    }
}
