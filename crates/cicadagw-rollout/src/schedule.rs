//! When the share of a target release grows, and how far.
//!
//! A bad release may get a tenth of the calls between the order and its end, and [`SLACK`] more; a good
//! one must have all calls before the end. Nothing can be taken back after that, so the test lasts
//! for as long as the order allows, with a share that uses the larger part of the allowance. The rest is left
//! for the calls that a release gets while its share is raised until it is found to be bad.

use cicadagw_unit::rate::Permille;
use cicadagw_unit::time::Span;

/// The share of the calls between the order and its end that a bad release may get.
const EXPOSURE: f64 = 0.1;

/// How many calls a bad release may get beyond that share.
const SLACK: f64 = 50.0;

/// The part of the allowance that the test uses.
const TEST_PART: f64 = 0.6;

/// How long a raised share is in force before the next step: two reports of each node.
const STEP: Span = Span::new(400);

/// How many steps lead from the test to all calls.
const STEPS: u64 = 4;

/// The time for the last calls to the other releases to end, and for the writes to the platform.
const CLOSING: Span = Span::new(2_500);

/// The largest part of the duration that raising and closing may take, as a divisor.
const TAIL_DIVISOR: u64 = 2;

/// The largest share during the test.
const TEST_SHARE_MAX: f64 = 500.0;

/// How long calls must have been reported until their number counts: the first reports tell of a few
/// calls only, whose slack would be a large share of all.
const COUNTED_MIN: Span = Span::seconds(1);

/// The smallest share of the first step after the test.
const FIRST_SHARE: u16 = 80;

/// The schedule of one rollout, which follows from its duration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Schedule {
    duration: Span,
}

impl Schedule {
    /// Creates the schedule of a rollout that has `duration`.
    pub const fn new(duration: Span) -> Self {
        Self { duration }
    }

    /// Returns the age from which the share is raised.
    pub const fn raise_at(self) -> Span {
        Span::new(self.duration.get() - self.tail())
    }

    /// Returns how long each raised share is in force.
    pub const fn step(self) -> Span {
        let all = STEP.get() * STEPS + CLOSING.get();
        Span::new(STEP.get() * self.tail() / all)
    }

    /// Returns the share with which the release is tested at `age`, when `exposed` of `reached` calls
    /// have gone to it; the calls have been reported for `counted`.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the range is clamped"
    )]
    pub fn test_share(self, age: Span, counted: Span, reached: u64, exposed: u64) -> Permille {
        let allowed = TEST_PART * EXPOSURE * reached as f64 + TEST_PART * SLACK;
        if exposed as f64 >= allowed {
            return Permille::new(0);
        }
        let raise_at = self.raise_at().get().max(1) as f64;
        let test_age = age.get().max(1) as f64;
        // The number of calls during the whole test, at the rate so far.
        let expected = (reached as f64 * raise_at / test_age).max(reached as f64);
        let slack_share = if counted < COUNTED_MIN {
            0.0
        } else {
            TEST_PART * SLACK / expected.max(1.0)
        };
        let share = (TEST_PART * EXPOSURE + slack_share) * 1_000.0;
        Permille::new(share.min(TEST_SHARE_MAX) as u16)
    }

    /// Returns the share after `share` in the steps from the test to all calls.
    pub fn next_share(share: Permille) -> Permille {
        let doubled = share.get().max(FIRST_SHARE / 2).saturating_mul(2);
        // The step before the last one is skipped if it is near to it.
        if doubled > 800 {
            Permille::WHOLE
        } else {
            Permille::new(doubled)
        }
    }

    const fn tail(self) -> u64 {
        let wanted = STEP.get() * STEPS + CLOSING.get();
        let most = self.duration.get() / TAIL_DIVISOR;
        if wanted < most { wanted } else { most }
    }
}
