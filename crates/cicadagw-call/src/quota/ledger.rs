//! The owner's side: the tokens of the parts that this node owns.

use std::collections::BTreeMap;

use cicadagw_config::account::Quota;
use cicadagw_unit::id;
use cicadagw_unit::rate::Tokens;
use cicadagw_unit::time::{Span, Timestamp};

use super::allowance::{Allowance, GRANT_LIFETIME, TOKEN};
use super::{Answer, Ask, Grant};

/// How much longer than [`GRANT_LIFETIME`] a grant counts at its owner, which may have a faster
/// clock.
const LIFETIME_MARGIN: Span = Span::new(100);

/// The time in which an owner with few tokens answers one request of each node that asks.
const PACE_PER_ASKER: Span = Span::new(20);

/// Lower bound of the time between two requests of a node that is short of tokens.
const PACE_MIN: Span = Span::new(100);

/// Upper bound of the time between two requests of a node that is short of tokens.
const PACE_MAX: Span = Span::new(600);

/// The time whose tokens an owner has left at least while its part is not in short supply.
const LOW_LEVEL: Span = Span::new(200);

/// The node that sent an [`Ask`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Asker {
    /// Its name.
    pub node: id::Node,
    /// The start time of its process, in milliseconds since the Unix epoch: a restarted process
    /// holds nothing of what was granted before.
    pub start_ms: u64,
}

/// The terms under which this node owns a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Terms {
    /// The number of parts of the quota.
    pub parts: u16,
    /// The whole quota.
    pub quota: Quota,
    /// Since when this node owns the part.
    pub since: Timestamp,
}

/// The parts of quotas that this node owns and that nodes have asked for recently.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    parts: BTreeMap<id::Account, Part>,
}

/// The tokens of one part. Those at the owner and those that nodes may still spend are together never
/// more than the allowance's capacity.
#[derive(Clone, Debug)]
struct Part {
    askers: BTreeMap<id::Node, Outstanding>,
    /// What has not been granted, in millionths of a token.
    level: u64,
    /// Since when this node owns the part.
    since: Timestamp,
    /// When `level` was last brought up to date.
    updated: Timestamp,
}

/// What a node may still spend, as far as the owner knows.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    expires: Timestamp,
    /// The number of the last request.
    number: u64,
    /// The start time of the node's process.
    start_ms: u64,
    tokens: u32,
}

impl Ledger {
    /// Returns the number of accounts of which this node has granted tokens recently.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether this node has granted no tokens recently.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Answers a request of a node; returns `None` if a later request of it has been answered.
    pub fn ask(&mut self, now: Timestamp, terms: Terms, asker: &Asker, ask: &Ask) -> Option<Grant> {
        let part = self
            .parts
            .entry(ask.account.clone())
            .or_insert_with(|| Part::new(terms.since));
        let answer = part.ask(now, terms, asker, ask)?;
        Some(Grant {
            account: ask.account.clone(),
            answer,
            number: ask.number,
        })
    }

    /// Forgets the parts that this node does not own any more.
    pub fn retain(&mut self, mut is_owned: impl FnMut(&id::Account) -> bool) {
        self.parts.retain(|account, _| is_owned(account));
    }

    /// Forgets the parts that no node holds tokens of and that have reached their capacity, which a
    /// part that is asked for anew has as well. `terms` returns the terms of an account's part, or
    /// `None` if it has no quota any more.
    pub fn prune(&mut self, now: Timestamp, mut terms: impl FnMut(&id::Account) -> Option<Terms>) {
        self.parts
            .retain(|account, part| terms(account).is_some_and(|terms| !part.is_idle(now, terms)));
    }
}

impl Part {
    const fn new(since: Timestamp) -> Self {
        Self {
            askers: BTreeMap::new(),
            level: 0,
            since,
            updated: since,
        }
    }

    fn ask(&mut self, now: Timestamp, terms: Terms, asker: &Asker, ask: &Ask) -> Option<Answer> {
        let known = self.askers.get(&asker.node);
        if known.is_some_and(|known| known.start_ms == asker.start_ms && known.number >= ask.number)
        {
            return None;
        }
        let expires = now.after(GRANT_LIFETIME).after(LIFETIME_MARGIN);
        let mut outstanding = Outstanding {
            expires,
            number: ask.number,
            start_ms: asker.start_ms,
            tokens: ask.held.get(),
        };
        self.askers.insert(asker.node.clone(), outstanding);
        self.refill(now, terms);

        // Waiting calls spend their tokens on arrival; the others stay outstanding.
        let for_waiting = self.take(ask.waiting.get().into());
        let ahead = self.take(u64::from(ask.ahead.get()).min(self.ahead_max(now, terms)));
        outstanding.tokens = outstanding.tokens.saturating_add(ahead);
        self.askers.insert(asker.node.clone(), outstanding);

        let created = Allowance::new(terms.quota, terms.parts).created(LOW_LEVEL);
        let is_low = self.level < created.max(TOKEN);
        let askers = self.askers.len() as u64;
        Some(Answer::Granted {
            is_dry: for_waiting < ask.waiting.get() || (is_low && ahead < ask.ahead.get()),
            pace: PACE_PER_ASKER.times(askers).clamp(PACE_MIN, PACE_MAX),
            tokens: Tokens::new(for_waiting + ahead),
        })
    }

    /// Returns how many tokens may be granted ahead of the calls of the node that asks.
    fn ahead_max(&self, now: Timestamp, terms: Terms) -> u64 {
        let allowance = Allowance::new(terms.quota, terms.parts);
        let room = allowance.ahead_max(self.is_starting(now)) / TOKEN;
        let room = room.saturating_sub(self.outstanding());
        // The other half of the level is left for nodes whose calls wait for a token.
        (self.level / TOKEN).div_ceil(2).min(room)
    }

    /// Takes up to `wanted` tokens from the level; returns how many.
    fn take(&mut self, wanted: u64) -> u32 {
        let taken = wanted.min(self.level / TOKEN);
        self.level -= taken * TOKEN;
        u32::try_from(taken).unwrap_or(u32::MAX)
    }

    /// Returns how many tokens nodes may still spend, as far as the owner knows.
    fn outstanding(&self) -> u64 {
        let tokens = self.askers.values().map(|asker| u64::from(asker.tokens));
        tokens.sum()
    }

    /// Returns whether nodes may hold tokens that an earlier owner granted.
    fn is_starting(&self, now: Timestamp) -> bool {
        now.since(self.since) < GRANT_LIFETIME.plus(LIFETIME_MARGIN)
    }

    /// Creates the tokens of the time since the last update, as far as there is room for them.
    fn refill(&mut self, now: Timestamp, terms: Terms) {
        self.askers.retain(|_, asker| now < asker.expires);
        let allowance = Allowance::new(terms.quota, terms.parts);
        let capacity = allowance.capacity(self.is_starting(now));
        let room = capacity.saturating_sub(self.outstanding().saturating_mul(TOKEN));
        let created = allowance.created(now.since(self.updated));
        self.level = self.level.saturating_add(created).min(room);
        self.updated = self.updated.max(now);
    }

    /// Returns whether the part has reached its capacity and no node holds tokens of it.
    fn is_idle(&mut self, now: Timestamp, terms: Terms) -> bool {
        self.refill(now, terms);
        let capacity = Allowance::new(terms.quota, terms.parts).capacity(false);
        self.askers.is_empty() && self.level >= capacity
    }
}
