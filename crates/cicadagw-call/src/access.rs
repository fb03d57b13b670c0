//! Access control: which client account a call belongs to, and whether the call needs one.

use std::collections::HashMap;

use cicadagw_config::Config;
use cicadagw_config::account::KeyDigest;
use cicadagw_unit::id;
use cicadagw_unit::rate::{Permille, Priority};
use cicadagw_unit::time::{Span, Timestamp};

use crate::Reason;

/// The part of the limit on the age of a configuration that is left for differences between clocks,
/// in thousandths.
const CLOCK_MARGIN: Permille = Permille::new(20);

/// Returns whether a key may have been revoked more than `limit` ago although a snapshot contains
/// it, when all changes before `confirmed_at` are known.
pub fn is_stale(now: Timestamp, confirmed_at: Option<Timestamp>, limit: Span) -> bool {
    let margin = CLOCK_MARGIN.of(limit.get());
    confirmed_at.is_none_or(|at| now.since(at).get() + margin >= limit.get())
}

/// The client accounts of one snapshot, indexed by the digests of their keys.
#[derive(Clone, Debug, Default)]
pub struct Access {
    /// The account that holds each key.
    holders: HashMap<KeyDigest, id::Account>,
    /// The priorities of the accounts that have one.
    priorities: HashMap<id::Account, Priority>,
    /// Whether the configuration declares accounts, so that calls need a key.
    needs_key: bool,
}

impl Access {
    /// Indexes the accounts of `config`.
    pub fn new(config: &Config) -> Self {
        let mut access = Self {
            needs_key: config.needs_key(),
            ..Self::default()
        };
        for (name, account) in &config.accounts {
            let keys = account.keys.iter();
            access.holders.extend(keys.map(|key| (*key, name.clone())));
            let priority = account.priority;
            access
                .priorities
                .extend(priority.map(|priority| (name.clone(), priority)));
        }
        access
    }

    /// Returns whether calls need a key, unless their route is public.
    pub const fn needs_key(&self) -> bool {
        self.needs_key
    }

    /// Returns the account that makes a call with `key`; `None` if the call needs no account and
    /// `key` belongs to none. With `is_stale`, the snapshot is so old that no key is known to be
    /// valid, nor to be invalid.
    ///
    /// # Errors
    ///
    /// If the route is not public and the configuration declares accounts, returns
    /// [`Reason::Stale`] with `is_stale`, and [`Reason::Unauthorized`] if `key` belongs to no
    /// account.
    pub fn account(
        &self,
        is_public: bool,
        key: Option<&KeyDigest>,
        is_stale: bool,
    ) -> Result<Option<&id::Account>, Reason> {
        let key = key.filter(|_| !is_stale);
        let holder = key.and_then(|key| self.holders.get(key));
        match holder {
            None if is_public || !self.needs_key => Ok(None),
            None if is_stale => Err(Reason::Stale),
            None => Err(Reason::Unauthorized),
            Some(holder) => Ok(Some(holder)),
        }
    }

    /// Returns the priority of a call of `account` under a policy with the priority `of_policy`.
    pub fn priority(&self, account: Option<&id::Account>, of_policy: Priority) -> Priority {
        let of_account = account.and_then(|account| self.priorities.get(account));
        of_account.copied().unwrap_or(of_policy)
    }
}
