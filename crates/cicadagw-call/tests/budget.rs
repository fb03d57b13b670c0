//! The retry budget limits retries to a share of the calls.

use cicadagw_call::Budget;
use cicadagw_unit::rate::Permille;
use quickcheck::{Gen, QuickCheck};

/// The size of the generated inputs and the seed of the generator.
const SIZE: usize = 60;
const SEED: u64 = 7;

/// The default reserve of a budget, in retries.
const RESERVE: u64 = 10;

/// Returns a property checker with a fixed seed, so that every run checks the same inputs.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED))
}

#[test]
fn retries_stay_within_the_deposited_share_plus_the_reserve() {
    fn property(calls: u16, share: u16) -> bool {
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

    seeded().quickcheck(property as fn(u16, u16) -> bool);
}

#[test]
fn the_balance_never_exceeds_the_reserve() {
    fn property(calls: u16) -> bool {
        let mut budget = Budget::default();
        for _ in 0..calls {
            budget.deposit(Permille::WHOLE);
        }
        for _ in 0..RESERVE {
            budget.spend();
        }
        !budget.can_spend()
    }

    seeded().quickcheck(property as fn(u16) -> bool);
}
