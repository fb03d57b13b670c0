//! Access control: which client account a call belongs to, and whether the call needs one.

use std::collections::HashMap;

use cicadagw_config::Config;
use cicadagw_config::account::KeyDigest;
use cicadagw_unit::id;
use cicadagw_unit::rate::Priority;

use crate::Reason;

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
            needs_key: !config.accounts.is_empty(),
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

    /// Returns the account that makes a call with `key`; `None` if the call needs no account and
    /// `key` belongs to none.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::Unauthorized`] if the route is not public, the configuration declares
    /// accounts, and `key` belongs to none of them.
    pub fn account(
        &self,
        is_public: bool,
        key: Option<&KeyDigest>,
    ) -> Result<Option<&id::Account>, Reason> {
        let holder = key.and_then(|key| self.holders.get(key));
        if holder.is_none() && self.needs_key && !is_public {
            return Err(Reason::Unauthorized);
        }
        Ok(holder)
    }

    /// Returns the priority of a call of `account` under a policy with the priority `of_policy`.
    pub fn priority(&self, account: Option<&id::Account>, of_policy: Priority) -> Priority {
        let of_account = account.and_then(|account| self.priorities.get(account));
        of_account.copied().unwrap_or(of_policy)
    }
}
