//! Retries stay within their share of the calls.

use cicadagw_call::Budget;
use cicadagw_unit::rate::Permille;
use quickcheck::{Gen, QuickCheck};

/// How large the generated values are, and what their choice begins with.
const SIZE: usize = 60;
const SEED: u64 = 7;

/// How many retries a budget begins with.
const RESERVE: u64 = 10;

/// Returns a checker that takes the same way on every run.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED))
}

#[test]
fn retries_stay_within_their_share() {
    fn holds(calls: u16, share: u16) -> bool {
        let share = Permille::new(share % 1_001);
        let mut budget = Budget::default();
        let mut retries = 0;
        for _ in 0..calls {
            budget.deposit(share);
            if budget.can_spend() {
                budget.spend();
                retries += 1;
            }
        }
        retries <= share.of(u64::from(calls)) + RESERVE
    }

    seeded().quickcheck(holds as fn(u16, u16) -> bool);
}

#[test]
fn quiet_times_save_up_no_more_than_the_reserve() {
    fn holds(calls: u16) -> bool {
        let mut budget = Budget::default();
        for _ in 0..calls {
            budget.deposit(Permille::WHOLE);
        }
        for _ in 0..RESERVE {
            budget.spend();
        }
        !budget.can_spend()
    }

    seeded().quickcheck(holds as fn(u16) -> bool);
}
