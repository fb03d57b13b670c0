//! Retry budgets.

use cicadagw_unit::rate::Permille;

/// What one retry costs, in thousandths of a call.
const COST: u64 = 1_000;

/// The retry budget of one service: every call pays a share of a retry in.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// What is there, in thousandths of a retry.
    saved: u64,
    /// How much may be saved up.
    most: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self::with_reserve(Self::RESERVE)
    }
}

impl Budget {
    /// How many retries are saved up at the most where nothing else is said.
    pub const RESERVE: u64 = 10;

    /// Creates a budget that holds `retries` and never saves up more.
    pub const fn with_reserve(retries: u64) -> Self {
        Self {
            saved: retries * COST,
            most: retries * COST,
        }
    }

    /// Pays in the share of one call.
    pub const fn deposit(&mut self, share: Permille) {
        let filled = self.saved.saturating_add(share.of(COST));
        self.saved = if filled < self.most {
            filled
        } else {
            self.most
        };
    }

    /// Tells whether a retry can be paid for.
    pub const fn can_spend(&self) -> bool {
        self.saved >= COST
    }

    /// Pays for a retry.
    pub const fn spend(&mut self) {
        self.saved = self.saved.saturating_sub(COST);
    }
}
