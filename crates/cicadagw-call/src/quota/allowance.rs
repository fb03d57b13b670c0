//! What one part of a quota allows: how fast its tokens are created, and how many may be unspent.

use cicadagw_config::account::Quota;
use cicadagw_unit::time::Span;

/// How long the tokens that a node was granted ahead of its calls may be spent.
pub const GRANT_LIFETIME: Span = Span::seconds(2);

/// One token, in the unit of an allowance: millionths of a token. A rate in thousandths of a call per
/// second adds its number of them each millisecond.
pub(super) const TOKEN: u64 = 1_000_000;

/// The time over which the tolerance is measured, in milliseconds.
const TOLERANCE_WINDOW_MS: u64 = 5_000;

/// The tokens that may be unspent beyond the burst, so that those that nodes hold ahead of their
/// calls do not shorten it: a share of what the quota allows in the window, in thousandths.
const TOLERANCE_PERMILLE: u64 = 50;

/// The tokens that may be unspent beyond the burst and that share.
const TOLERANCE_TOKENS: u64 = 10;

/// Divides the capacity: nodes hold at most this part of it ahead of their calls. The rest is for
/// calls that arrive elsewhere, such as those of callers that move to other nodes.
const AHEAD_DIVISOR: u64 = 2;

/// What one of the equal parts of a quota allows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Allowance {
    /// How much is created each millisecond, in millionths of a token, multiplied by `parts`.
    rate: u64,
    /// How much may be unspent, in millionths of a token.
    capacity: u64,
    /// The number of parts.
    parts: u64,
}

impl Allowance {
    /// Creates the allowance of one of `parts` equal parts of `quota`.
    pub fn new(quota: Quota, parts: u16) -> Self {
        let parts = u64::from(parts.max(1));
        let rate = quota.rate.milli();
        let burst = u64::from(quota.burst.get()) * TOKEN;
        let window = rate * TOLERANCE_WINDOW_MS + burst;
        let tolerance = window / 1_000 * TOLERANCE_PERMILLE + TOLERANCE_TOKENS * TOKEN;
        Self {
            rate,
            capacity: ((burst + tolerance) / parts).max(TOKEN),
            parts,
        }
    }

    /// Returns what is created in `span`, in millionths of a token.
    pub(super) const fn created(self, span: Span) -> u64 {
        span.get().saturating_mul(self.rate) / self.parts
    }

    /// Returns how much may be unspent, in millionths of a token. While the owner is `starting`, nodes
    /// may hold tokens that an earlier owner granted, so there is less room.
    pub(super) const fn capacity(self, is_starting: bool) -> u64 {
        if is_starting {
            self.capacity - self.ahead_max(false)
        } else {
            self.capacity
        }
    }

    /// Returns how much nodes may hold ahead of their calls, in millionths of a token.
    pub(super) const fn ahead_max(self, is_starting: bool) -> u64 {
        let capacity = if is_starting {
            self.capacity - self.capacity / AHEAD_DIVISOR
        } else {
            self.capacity
        };
        capacity / AHEAD_DIVISOR
    }
}
