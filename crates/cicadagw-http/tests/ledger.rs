//! What the memory that connections hold allows.

use std::rc::Rc;

use cicadagw_http::Ledger;
use cicadagw_http::ledger::Level;

/// The budget of the tests, in bytes.
const BUDGET: usize = 1_000;

fn ledger() -> Rc<Ledger> {
    Rc::new(Ledger::new(BUDGET, 10))
}

#[test]
fn level_rises_with_the_memory_held_and_falls_when_it_is_released() {
    let ledger = ledger();
    let levels = [0, 499, 500, 749, 750, 999, 1_000].map(|bytes| {
        let _held = ledger.hold(bytes);
        ledger.level()
    });

    assert_eq!(
        levels,
        [
            Level::Ample,
            Level::Ample,
            Level::Tight,
            Level::Tight,
            Level::Scarce,
            Level::Scarce,
            Level::Full
        ]
    );
    assert_eq!(ledger.held(), 0);
}

#[test]
fn a_change_of_size_replaces_what_was_held() {
    let ledger = ledger();
    let mut held = ledger.hold(400);

    held.set(300);

    assert_eq!(ledger.held(), 300);
}

#[test]
fn nothing_is_read_ahead_and_only_short_bodies_are_buffered_unless_memory_is_ample() {
    let ledger = ledger();
    assert!(ledger.may_read_ahead());
    assert_eq!(ledger.buffer_max(1 << 20), 1 << 20);

    let _held = ledger.hold(500);

    assert!(!ledger.may_read_ahead());
    assert_eq!(ledger.buffer_max(1 << 20), 16 << 10);
    assert_eq!(ledger.buffer_max(100), 100);
}
