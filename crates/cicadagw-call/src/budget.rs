//! Retry budgets, which limit retries to a share of the calls.

use cicadagw_unit::rate::Permille;

/// The cost of one retry, in thousandths of a retry.
const RETRY_COST: u64 = 1_000;

/// The retry budget of one service. Every call deposits a share of a retry, and every retry
/// withdraws a whole one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// The balance, in thousandths of a retry.
    saved: u64,
    /// The upper bound of the balance, in thousandths of a retry.
    most: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self::with_reserve(Self::RESERVE)
    }
}

impl Budget {
    /// The default reserve, in retries.
    pub const RESERVE: u64 = 10;

    /// Creates a budget with a balance of `retries`, which is also its upper bound.
    pub const fn with_reserve(retries: u64) -> Self {
        Self {
            saved: retries * RETRY_COST,
            most: retries * RETRY_COST,
        }
    }

    /// Deposits the share of a retry that one call contributes.
    pub const fn deposit(&mut self, share: Permille) {
        let balance = self.saved.saturating_add(share.of(RETRY_COST));
        self.saved = if balance < self.most {
            balance
        } else {
            self.most
        };
    }

    /// Returns whether the balance covers a retry.
    pub const fn can_spend(&self) -> bool {
        self.saved >= RETRY_COST
    }

    /// Withdraws one retry.
    pub const fn spend(&mut self) {
        self.saved = self.saved.saturating_sub(RETRY_COST);
    }
}
