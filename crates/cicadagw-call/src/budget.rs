//! Retry budgets.

use cicadagw_unit::rate::Permille;

/// What one retry costs, in thousandths of a call.
const COST: u64 = 1_000;

/// How many retries a budget saves up at the most.
const RESERVE: u64 = 10;

/// The retry budget of one service: every call pays a share of a retry in.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct Budget(u64);

impl Default for Budget {
    fn default() -> Self {
        Self(RESERVE * COST)
    }
}

impl Budget {
    /// Pays in the share of one call.
    pub const fn deposit(&mut self, share: Permille) {
        let filled = self.0.saturating_add(share.of(COST));
        self.0 = if filled < RESERVE * COST {
            filled
        } else {
            RESERVE * COST
        };
    }

    /// Tells whether a retry can be paid for.
    pub const fn is_funded(&self) -> bool {
        self.0 >= COST
    }

    /// Pays for a retry.
    pub const fn spend(&mut self) {
        self.0 = self.0.saturating_sub(COST);
    }
}
