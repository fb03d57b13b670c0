//! Tests of endpoint updates: announcement, drain, removal, refutation and the census.

use cicadagw_endpoint::{Record, State};
use cicadagw_unit::Digest;
use cicadagw_unit::time::Span;
use cicadagw_wire::link::Command;
use cicadagw_wire::{Down, Up};

use crate::fixture::{hello, local, member, record, report, seeded, settings};
use crate::session::Session;
use crate::store::Store;

/// Creates a node that has joined a parent.
fn joined_node() -> Session {
    let mut session = Session::new(&seeded(2, &[1]), Store::default());
    session.store.unavailable = true;
    session.run_until_dial();
    session.accept_dial(&[1]);
    session.clear();
    session
}

/// Creates a root of the fleet.
fn fleet_root() -> Session {
    let mut session = Session::new(&settings(1), Store::holding(1));
    session.run(Span::seconds(4));
    session.clear();
    session
}

/// Returns the record of an endpoint that the node knows.
fn known(session: &Session, endpoint: &str) -> Option<Record> {
    let dump = session.dump();
    dump.endpoints.get(&endpoint.parse().unwrap()).cloned()
}

fn state(session: &Session, endpoint: &str) -> Option<State> {
    known(session, endpoint).map(|record| record.state)
}

#[test]
fn announcement_drain_and_removal_are_sent_to_parent_and_children() {
    let mut session = joined_node();
    session.deliver_join_request(1, hello(3, 0));
    session.clear();

    session.local(local("e1", State::Ready));
    session.local(local("e1", State::Ready));
    session.run(Span::new(100));
    session.local(local("e1", State::Draining));
    session.local(local("e1", State::Gone));

    insta::assert_snapshot!(session.transcript());
}

#[test]
fn updates_are_sent_to_all_peers_but_their_origin() {
    let mut session = joined_node();
    session.deliver_join_request(1, hello(3, 0));
    session.deliver_join_request(3, hello(4, 0));
    session.clear();

    session.deliver_up(1, Up::Endpoints(vec![record(3, "e3", 1, State::Ready)]));
    session.run(Span::new(100));
    session.deliver_down(Down::Endpoints(vec![record(5, "e5", 1, State::Ready)]));
    session.deliver_up(3, Up::Endpoints(vec![record(5, "e5", 1, State::Ready)]));
    session.run(Span::new(100));

    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_false_removal_is_refuted() {
    let mut session = joined_node();
    session.local(local("e1", State::Ready));
    session.run(Span::new(100));

    session.deliver_down(Down::Endpoints(vec![record(2, "e1", 2, State::Gone)]));
    session.run(Span::new(100));

    assert_eq!(
        known(&session, "e1"),
        Some(record(2, "e1", 3, State::Ready))
    );
    assert_eq!(
        session.records_sent_up().last(),
        Some(&record(2, "e1", 3, State::Ready))
    );
}

#[test]
fn a_restarted_node_keeps_announced_endpoints_and_removes_others() {
    let mut session = joined_node();

    let stale = vec![
        record(2, "e1", 7, State::Ready),
        record(2, "e2", 4, State::Ready),
    ];
    session.deliver_down(Down::Endpoints(stale));
    session.local(local("e1", State::Ready));
    session.run_with_heartbeats(Span::seconds(8));

    assert_eq!(
        known(&session, "e1"),
        Some(record(2, "e1", 8, State::Ready))
    );
    assert_eq!(known(&session, "e2"), Some(record(2, "e2", 5, State::Gone)));
}

#[test]
fn a_stale_record_does_not_revive_an_endpoint_that_the_node_ended() {
    let mut session = joined_node();
    session.local(local("e1", State::Gone));

    session.deliver_down(Down::Endpoints(vec![record(2, "e1", 7, State::Ready)]));

    assert_eq!(known(&session, "e1"), Some(record(2, "e1", 8, State::Gone)));
}

#[test]
fn updates_received_while_dialing_reach_the_parent() {
    let mut session = Session::new(&seeded(2, &[1]), Store::default());
    session.store.unavailable = true;
    session.deliver_join_request(1, hello(3, 0));
    session.run_until_dial();

    session.deliver_up(1, Up::Endpoints(vec![record(3, "e3", 1, State::Ready)]));
    session.run(Span::new(100));
    session.accept_dial(&[1]);
    session.deliver_down(Down::Digests(std::collections::BTreeMap::new()));

    assert_eq!(
        session.records_sent_up(),
        [record(3, "e3", 1, State::Ready)]
    );
}

#[test]
fn digests_are_sent_to_a_new_child_even_if_they_are_equal() {
    let mut session = fleet_root();
    session.deliver_up(1, Up::Endpoints(vec![record(3, "e3", 1, State::Ready)]));

    session.deliver_join_request(1, hello(3, 0));

    let is_sent = session.commands().any(|command| match command {
        Command::Down { message, .. } => matches!(&**message, Down::Digests(_)),
        _ => false,
    });
    assert!(is_sent);
}

#[test]
fn a_census_removes_endpoints_of_nodes_that_do_not_respond() {
    let mut session = fleet_root();
    session.deliver_join_request(1, hello(2, 1));
    session.deliver_up(
        1,
        Up::Endpoints(vec![
            record(2, "e2", 1, State::Ready),
            record(3, "e3", 1, State::Ready),
            record(4, "e4", 1, State::Ready),
        ]),
    );
    session.deliver_up(1, Up::Report(Box::new(report(1, 2, 2))));

    for _ in 0..6 {
        session.run(Span::seconds(1));
        session.deliver_up(1, Up::Report(Box::new(report(1, 2, 2))));
    }
    session.deliver_up(1, Up::Present(vec![member(2).node, member(4).node]));
    for _ in 0..4 {
        session.run(Span::seconds(1));
        session.deliver_up(1, Up::Report(Box::new(report(1, 2, 2))));
    }

    assert_eq!(state(&session, "e2"), Some(State::Ready));
    assert_eq!(state(&session, "e3"), Some(State::Gone));
    assert_eq!(state(&session, "e4"), Some(State::Ready));
}

#[test]
fn a_node_forwards_the_census_responses_of_its_descendants() {
    let mut session = joined_node();
    session.deliver_join_request(1, hello(3, 0));
    session.clear();

    session.deliver_down(Down::Census);
    session.deliver_up(1, Up::Present(vec![member(3).node, member(4).node]));
    session.run(Span::new(100));

    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_stale_record_after_tombstone_expiry_is_removed_again() {
    let mut session = fleet_root();
    session.deliver_join_request(1, hello(2, 1));
    session.deliver_up(1, Up::Endpoints(vec![record(3, "e3", 2, State::Gone)]));
    for _ in 0..610 {
        session.run(Span::seconds(1));
        session.deliver_up(1, Up::Report(Box::new(report(1, 1, 0))));
    }
    let after_expiry = known(&session, "e3");

    // A failure domain that was partitioned since before the removal returns.
    session.deliver_up(1, Up::Endpoints(vec![record(3, "e3", 1, State::Ready)]));
    for _ in 0..10 {
        session.run(Span::seconds(1));
        session.deliver_up(1, Up::Report(Box::new(report(1, 1, 0))));
    }

    assert_eq!(after_expiry, None);
    assert_eq!(state(&session, "e3"), Some(State::Gone));
}

#[test]
fn conflicting_records_with_equal_sequence_numbers_converge() {
    let draining = record(3, "e3", 2, State::Draining);
    let removed = record(3, "e3", 2, State::Gone);
    let mut first = joined_node();
    let mut second = joined_node();

    first.deliver_down(Down::Endpoints(vec![draining.clone()]));
    first.deliver_down(Down::Endpoints(vec![removed.clone()]));
    second.deliver_down(Down::Endpoints(vec![removed]));
    second.deliver_down(Down::Endpoints(vec![draining]));

    assert_eq!(state(&first, "e3"), Some(State::Gone));
    assert_eq!(state(&second, "e3"), Some(State::Gone));
}

#[test]
fn a_node_sends_records_that_its_parent_lacks() {
    let mut session = joined_node();
    session.deliver_join_request(1, hello(3, 0));
    session.deliver_up(1, Up::Endpoints(vec![record(3, "e3", 1, State::Ready)]));
    session.run(Span::new(100));
    session.clear();

    session.deliver_down(Down::Digests(
        [("kochi-a".parse().unwrap(), Digest::default())].into(),
    ));

    assert_eq!(
        session.records_sent_up(),
        [record(3, "e3", 1, State::Ready)]
    );
}

/// Advances the time with a child that reports one node without a backend server.
fn run_with_child(session: &mut Session, seconds: u64) {
    for _ in 0..seconds {
        session.run(Span::seconds(1));
        session.deliver_up(1, Up::Report(Box::new(report(1, 1, 0))));
    }
}

#[test]
fn a_node_that_refuted_its_removal_is_protected_for_a_while() {
    let mut session = fleet_root();
    session.deliver_join_request(1, hello(2, 1));
    session.deliver_up(1, Up::Endpoints(vec![record(3, "e3", 1, State::Ready)]));
    run_with_child(&mut session, 10);
    let removed = known(&session, "e3");

    // The node is alive, but a descendant of another root for now.
    session.deliver_up(1, Up::Endpoints(vec![record(3, "e3", 3, State::Ready)]));
    run_with_child(&mut session, 30);
    let refuted = known(&session, "e3");
    run_with_child(&mut session, 60);

    assert_eq!(removed, Some(record(3, "e3", 2, State::Gone)));
    assert_eq!(refuted, Some(record(3, "e3", 3, State::Ready)));
    assert_eq!(state(&session, "e3"), Some(State::Gone));
}
