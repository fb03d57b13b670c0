//! Leases: lost answers, frozen holders, two roots at once.

use cicadagw_control::Rank;
use cicadagw_control::platform::Request;
use cicadagw_unit::time::Span;
use cicadagw_wire::Down;

use crate::fixture::{hello, seeded, settings, snapshot};
use crate::session::Session;
use crate::store::{Fault, Store};

/// The root of everything, which holds `version`.
fn apex(version: u64) -> Session {
    let mut session = Session::new(&settings(1), Store::holding(version));
    session.run(Span::seconds(4));
    session.forget();
    session
}

fn state(session: &Session, rank: Rank) -> String {
    session.dump().leases[&rank].clone()
}

#[test]
fn a_lost_answer_of_a_claim_is_cleared_up_by_a_read() {
    let mut session = Session::new(&settings(1), Store::holding(1));
    session.store.faults = [Fault::LostAfter, Fault::LostBefore].into();

    session.run(Span::seconds(8));

    insta::assert_snapshot!(session.told());
}

#[test]
fn a_lost_answer_of_a_renewal_loses_no_lease() {
    let mut session = apex(1);
    session.store.faults = [Fault::LostAfter, Fault::LostBefore, Fault::LostAfter].into();

    session.run(Span::seconds(6));

    insta::assert_snapshot!(session.told());
}

#[test]
fn a_frozen_holder_wakes_up_and_goes_below_the_new_one() {
    let mut session = apex(2);

    session.freeze(Span::seconds(30));
    session.store.give(Rank::Domain, 5);
    session.store.give(Rank::Region, 5);
    session.store.give(Rank::Fleet, 5);
    session.store.accept(3);
    let dialled = session.dials();
    session.joined(&[5]);
    session.down(Down::Snapshot(Box::new(snapshot(3))));

    assert_eq!(dialled, 5);
    insta::assert_snapshot!(session.told());
}

#[test]
fn two_roots_at_once_lower_no_version() {
    let mut old = apex(2);
    old.store.away = true;
    let mut new = Session::new(&settings(5), Store::holding(3));
    new.run(Span::seconds(4));

    // A node that fell from the new root to the old one, which is behind and knows nothing of it.
    let mut node = Session::new(&settings(2), Store::default());
    node.store.give(Rank::Domain, 1);
    node.dials();
    node.joined(&[1]);
    node.down(Down::Snapshot(Box::new(snapshot(3))));
    node.down(Down::Heartbeat(old.held()));
    node.down(Down::Snapshot(Box::new(snapshot(2))));
    old.joining(1, hello(2, 3));

    assert_eq!(new.held(), snapshot(3).stamp);
    assert_eq!(node.held(), snapshot(3).stamp);
    assert_eq!(old.held(), snapshot(2).stamp);
    assert_eq!(state(&old, Rank::Fleet), "held");
}

#[test]
fn a_claim_under_way_is_not_given_up() {
    let mut session = Session::new(&seeded(2, &[1]), Store::default());
    session.run_with(Span::seconds(1), |call| {
        matches!(call.request, Request::Get(_))
    });
    session.joined(&[1]);
    session.run_with(Span::new(100), |_| false);

    session.answer();

    assert_eq!(state(&session, Rank::Domain), "held");
}

#[test]
fn a_restarted_holder_takes_its_lease_back_at_once() {
    let mut store = Store::holding(1);
    store.give(Rank::Domain, 1);
    let mut session = Session::new(&settings(1), store);

    session.run(Span::seconds(1));

    assert_eq!(state(&session, Rank::Domain), "held");
}
