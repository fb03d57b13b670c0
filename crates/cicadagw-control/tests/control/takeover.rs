//! Roots that leave or die, and those who take over from them.

use cicadagw_control::{Event, Rank};
use cicadagw_unit::time::Span;
use cicadagw_wire::Down;

use crate::fixture::{hello, seeded, settings, snapshot};
use crate::session::Session;
use crate::store::Store;

/// A seed with which a node takes its first look at the leases after its first dial.
const LATE_LOOK: u64 = 499;

/// The root of everything, which holds `version`.
fn apex(version: u64) -> Session {
    let mut session = Session::new(&settings(1), Store::holding(version));
    session.run(Span::seconds(4));
    session
}

/// A node below the root, which holds version 1.
fn below_the_root() -> Session {
    let mut store = Store::holding(1);
    store.give(Rank::Domain, 5);
    let mut session = Session::new(&settings(1), store);
    session.dials();
    session.joined(&[5]);
    session.down(Down::Snapshot(Box::new(snapshot(1))));
    session
}

#[test]
fn a_root_that_leaves_gives_its_leases_back_and_dismisses_its_children() {
    let mut session = apex(1);
    session.joining(1, hello(2, 1));
    session.forget();

    session.step(Event::Leave);
    session.answer();
    session.run(Span::seconds(10));

    assert_eq!(session.dump().leases[&Rank::Domain], "unknown");
    insta::assert_snapshot!(session.told());
}

#[test]
fn a_released_lease_is_taken_at_once() {
    let mut session = below_the_root();
    session.store.release(Rank::Domain);

    session.closed();
    session.run(Span::new(300));

    assert_eq!(session.dump().leases[&Rank::Domain], "held");
}

#[test]
fn a_change_is_in_force_before_the_lease_of_a_dead_root_lapses() {
    let mut session = below_the_root();
    session.closed();

    session.store.accept(2);
    session.run(Span::new(1_500));

    assert_eq!(session.dump().leases[&Rank::Domain], "watching");
    assert_eq!(session.held(), snapshot(2).stamp);
}

#[test]
fn a_node_that_leaves_claims_nothing_more() {
    let mut session = Session::new(&settings(1), Store::holding(1));
    session.run_with(Span::new(300), |_| false);

    session.step(Event::Leave);
    session.answer();

    assert_eq!(session.dump().leases[&Rank::Domain], "unknown");
    assert_eq!(session.calls, 1);
}

#[test]
fn a_restarted_holder_takes_its_lease_back_from_below_another_node() {
    let mut store = Store::holding(1);
    store.give(Rank::Domain, 1);
    let mut session = Session::seeded(&seeded(1, &[2]), LATE_LOOK, store);

    session.dials();
    session.joined(&[2]);
    session.run(Span::seconds(1));

    assert_eq!(session.dump().leases[&Rank::Domain], "held");
}
