//! A node's shares of all quotas.

use std::collections::BTreeMap;

use cicadagw_unit::id;
use cicadagw_unit::time::Timestamp;
use smallvec::SmallVec;

use super::{Decision, Grant, Request, Share, State, Ticket};

/// A node's shares of the quotas whose accounts make calls at it.
#[derive(Clone, Debug)]
pub struct Shares {
    by_account: BTreeMap<id::Account, Share>,
    granted: u64,
    /// The number of the last request.
    number: u64,
    returned: u64,
}

/// The number of shares by state, and the tokens that have passed through them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Counts {
    /// Tokens that owners have granted to this node.
    pub granted: u64,
    /// Tokens that calls have given back.
    pub returned: u64,
    /// Those of accounts that have tokens.
    pub open: u64,
    /// Those of accounts that have used their quotas up.
    pub short: u64,
    /// Those of accounts of whose quotas no owner answers.
    pub silent: u64,
}

impl Shares {
    /// Creates the shares of a node without any; its requests are numbered from `number` on.
    pub const fn new(number: u64) -> Self {
        Self {
            granted: 0,
            number,
            returned: 0,
            by_account: BTreeMap::new(),
        }
    }

    /// Decides about a call of `account` that has just arrived, and that `is_late` for its latency
    /// target. The quota is divided into `parts` parts.
    pub fn arrive(
        &mut self,
        now: Timestamp,
        account: &id::Account,
        parts: u16,
        is_late: bool,
    ) -> Decision {
        if !self.by_account.contains_key(account) {
            self.by_account.insert(account.clone(), Share::new(parts));
        }
        let Some(share) = self.by_account.get_mut(account) else {
            unreachable!("the share was inserted if it was missing");
        };
        share.set_parts(now, parts);
        share.arrive(now, is_late)
    }

    /// Decides about a call that arrived at `arrived` and has waited since.
    pub fn wait(&mut self, now: Timestamp, account: &id::Account, arrived: Timestamp) -> Decision {
        match self.by_account.get_mut(account) {
            Some(share) => share.wait(now, arrived),
            None => unreachable!("a share with waiting calls is kept"),
        }
    }

    /// Returns the requests for tokens of `account` that are due.
    pub fn requests(&mut self, now: Timestamp, account: &id::Account) -> SmallVec<[Request; 2]> {
        match self.by_account.get_mut(account) {
            Some(share) => share.requests(now, account, &mut self.number),
            None => SmallVec::new(),
        }
    }

    /// Returns when a waiting call of `account` has to be decided about again if no answer arrives
    /// before.
    pub fn next_change(&self, now: Timestamp, account: &id::Account) -> Timestamp {
        let share = self.by_account.get(account);
        share.map_or(now, |share| share.next_change(now))
    }

    /// Records that a waiting call has been given up.
    pub fn leave(&mut self, account: &id::Account) {
        if let Some(share) = self.by_account.get_mut(account) {
            share.leave();
        }
    }

    /// Puts back the token of a call that has not run.
    pub fn give_back(&mut self, now: Timestamp, account: &id::Account, ticket: Ticket) {
        if let Some(share) = self.by_account.get_mut(account) {
            self.returned += u64::from(share.give_back(now, ticket));
        }
    }

    /// Records the answer of an owner.
    pub fn grant(&mut self, now: Timestamp, grant: &Grant) {
        if let Some(share) = self.by_account.get_mut(&grant.account) {
            self.granted += u64::from(share.grant(now, grant));
        }
    }

    /// Forgets the shares that have not been used for a while.
    pub fn prune(&mut self, now: Timestamp) {
        self.by_account.retain(|_, share| !share.is_idle(now));
    }

    /// Returns the accounts whose shares have changed their state since they were returned last, and
    /// the new states; an account is returned at most once in a few seconds.
    pub fn changes(&mut self, now: Timestamp) -> Vec<(id::Account, State)> {
        let shares = self.by_account.iter_mut();
        let changes = shares.filter_map(|(account, share)| {
            let state = share.change(now)?;
            Some((account.clone(), state))
        });
        changes.collect()
    }

    /// Returns the number of shares by state.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts {
            granted: self.granted,
            returned: self.returned,
            ..Counts::default()
        };
        for share in self.by_account.values() {
            match share.state() {
                State::Open => counts.open += 1,
                State::Short => counts.short += 1,
                State::Silent => counts.silent += 1,
            }
        }
        counts
    }
}
