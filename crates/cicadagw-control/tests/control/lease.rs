//! Tests of leases: lost responses, suspended holders, and two roots at the same time.

use cicadagw_control::Scope;
use cicadagw_control::platform::Request;
use cicadagw_unit::time::Span;
use cicadagw_wire::Down;

use crate::fixture::{hello, seeded, settings, snapshot};
use crate::session::Session;
use crate::store::{Fault, Store};

/// Creates a root of the fleet that holds `version`.
fn fleet_root(version: u64) -> Session {
    let mut session = Session::new(&settings(1), Store::holding(version));
    session.run(Span::seconds(4));
    session.clear();
    session
}

fn state(session: &Session, scope: Scope) -> String {
    session.dump().leases[&scope].clone()
}

#[test]
fn a_read_resolves_a_claim_whose_response_was_lost() {
    let mut session = Session::new(&settings(1), Store::holding(1));
    session.store.faults = [
        Fault::ResponseLostAfterWrite,
        Fault::ResponseLostBeforeWrite,
    ]
    .into();

    session.run(Span::seconds(8));

    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_lost_response_to_a_renewal_keeps_the_lease() {
    let mut session = fleet_root(1);
    session.store.faults = [
        Fault::ResponseLostAfterWrite,
        Fault::ResponseLostBeforeWrite,
        Fault::ResponseLostAfterWrite,
    ]
    .into();

    session.run(Span::seconds(6));

    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_holder_that_was_suspended_joins_its_successor() {
    let mut session = fleet_root(2);

    session.suspend(Span::seconds(30));
    session.store.assign_lease(Scope::Domain, 5);
    session.store.assign_lease(Scope::Region, 5);
    session.store.assign_lease(Scope::Fleet, 5);
    session.store.accept(3);
    let dialed = session.run_until_dial();
    session.accept_dial(&[5]);
    session.deliver_down(Down::Snapshot(Box::new(snapshot(3))));

    assert_eq!(dialed, 5);
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn two_simultaneous_roots_lower_no_version() {
    let mut old = fleet_root(2);
    old.store.unavailable = true;
    let mut new = Session::new(&settings(5), Store::holding(3));
    new.run(Span::seconds(4));

    // This node moves from the new root to the old one, which is behind and does not know the new
    // one.
    let mut node = Session::new(&settings(2), Store::default());
    node.store.assign_lease(Scope::Domain, 1);
    node.run_until_dial();
    node.accept_dial(&[1]);
    node.deliver_down(Down::Snapshot(Box::new(snapshot(3))));
    node.deliver_down(Down::Heartbeat(old.held()));
    node.deliver_down(Down::Snapshot(Box::new(snapshot(2))));
    old.deliver_join_request(1, hello(2, 3));

    assert_eq!(new.held(), snapshot(3).stamp);
    assert_eq!(node.held(), snapshot(3).stamp);
    assert_eq!(old.held(), snapshot(2).stamp);
    assert_eq!(state(&old, Scope::Fleet), "held");
}

#[test]
fn a_claim_in_flight_is_not_abandoned() {
    let mut session = Session::new(&seeded(2, &[1]), Store::default());
    session.run_answering(Span::seconds(1), |call| {
        matches!(call.request, Request::Get(_))
    });
    session.accept_dial(&[1]);
    session.run_answering(Span::new(100), |_| false);

    session.answer();

    assert_eq!(state(&session, Scope::Domain), "held");
}

#[test]
fn a_restarted_holder_reclaims_its_lease_without_waiting_for_its_expiry() {
    let mut store = Store::holding(1);
    store.assign_lease(Scope::Domain, 1);
    let mut session = Session::new(&settings(1), store);

    session.run(Span::seconds(1));

    assert_eq!(state(&session, Scope::Domain), "held");
}
