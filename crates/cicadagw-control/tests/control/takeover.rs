//! Tests of roots that shut down or fail, and of the nodes that take over.

use cicadagw_control::{Event, Scope};
use cicadagw_unit::time::Span;
use cicadagw_wire::Down;

use crate::fixture::{hello, seeded, settings, snapshot};
use crate::session::Session;
use crate::store::Store;

/// Seed with which a node first reads the leases only after its first dial.
const LATE_READ_SEED: u64 = 499;

/// Creates a root of the fleet that holds `version`.
fn fleet_root(version: u64) -> Session {
    let mut session = Session::new(&settings(1), Store::holding(version));
    session.run(Span::seconds(4));
    session
}

/// Creates a child of the root of its failure domain, with version 1.
fn child_of_the_root() -> Session {
    let mut store = Store::holding(1);
    store.assign_lease(Scope::Domain, 5);
    let mut session = Session::new(&settings(1), store);
    session.run_until_dial();
    session.accept_dial(&[5]);
    session.deliver_down(Down::Snapshot(Box::new(snapshot(1))));
    session
}

#[test]
fn a_leaving_root_releases_its_leases_and_closes_its_children() {
    let mut session = fleet_root(1);
    session.deliver_join_request(1, hello(2, 1));
    session.clear();

    session.step(Event::Shutdown);
    session.answer();
    session.run(Span::seconds(10));

    assert_eq!(session.dump().leases[&Scope::Domain], "unknown");
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_released_lease_is_claimed_without_delay() {
    let mut session = child_of_the_root();
    session.store.release_lease(Scope::Domain);

    session.close_parent_link();
    session.run(Span::new(300));

    assert_eq!(session.dump().leases[&Scope::Domain], "held");
}

#[test]
fn a_change_is_adopted_before_the_lease_of_a_failed_root_expires() {
    let mut session = child_of_the_root();
    session.close_parent_link();

    session.store.accept(2);
    session.run(Span::new(1_500));

    assert_eq!(session.dump().leases[&Scope::Domain], "watching");
    assert_eq!(session.held(), snapshot(2).stamp);
}

#[test]
fn a_leaving_node_claims_no_lease() {
    let mut session = Session::new(&settings(1), Store::holding(1));
    session.run_answering(Span::new(300), |_| false);

    session.step(Event::Shutdown);
    session.answer();

    assert_eq!(session.dump().leases[&Scope::Domain], "unknown");
    assert_eq!(session.calls, 1);
}

#[test]
fn a_restarted_holder_reclaims_its_lease_while_below_another_node() {
    let mut store = Store::holding(1);
    store.assign_lease(Scope::Domain, 1);
    let mut session = Session::seeded(&seeded(1, &[2]), LATE_READ_SEED, store);

    session.run_until_dial();
    session.accept_dial(&[2]);
    session.run(Span::seconds(1));

    assert_eq!(session.dump().leases[&Scope::Domain], "held");
}
