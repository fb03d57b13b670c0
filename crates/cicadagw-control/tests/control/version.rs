//! Tests of how a node handles the versions that it is offered.

use std::sync::Arc;

use cicadagw_config::{Delta, Snapshot};
use cicadagw_endpoint::State;
use cicadagw_unit::Version;
use cicadagw_unit::time::Span;
use cicadagw_wire::link::{Command, LinkId};
use cicadagw_wire::{Down, Up};

use crate::fixture::{hello, local, report, seeded, settings, snapshot};
use crate::session::Session;
use crate::store::Store;

/// Creates a node that has joined a parent and holds `version`.
fn joined_node(version: u64) -> Session {
    let mut session = Session::new(&seeded(2, &[1]), Store::default());
    session.store.unavailable = true;
    session.run_until_dial();
    session.accept_dial(&[1]);
    session.deliver_down(Down::Snapshot(Box::new(snapshot(version))));
    session
}

fn delta(from: u64, to: u64) -> Delta {
    Delta::between(&snapshot(from), &snapshot(to))
}

/// Returns a snapshot with a matching digest that lacks the objects that `remove` takes away.
fn incomplete(version: u64, remove: fn(&mut cicadagw_config::Config)) -> Snapshot {
    let whole = snapshot(version);
    let mut config = whole.config;
    remove(&mut config);
    Snapshot::new(Version::new(version), whole.preset, config)
}

#[test]
fn the_first_node_acquires_every_lease_and_adopts_versions() {
    let mut session = Session::new(&settings(1), Store::holding(2));

    session.local(local("e1", State::Ready));
    session.run(Span::seconds(4));
    session.deliver_join_request(1, hello(2, 0));
    session.deliver_up(1, Up::Report(Box::new(report(2, 1, 0))));
    session.store.accept(3);
    session.run(Span::seconds(2));

    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_child_adopts_a_whole_snapshot_and_then_deltas() {
    let mut session = Session::new(&seeded(2, &[1]), Store::default());

    session.store.unavailable = true;
    session.run_until_dial();
    session.accept_dial(&[1]);
    session.deliver_join_request(1, hello(3, 0));
    session.deliver_down(Down::Snapshot(Box::new(snapshot(1))));
    session.deliver_down(Down::Delta(Box::new(delta(1, 2))));
    session.deliver_down(Down::Delta(Box::new(delta(2, 3))));
    session.deliver_join_request(3, hello(4, 2));

    insta::assert_snapshot!(session.transcript());
}

#[test]
fn invalid_snapshots_are_refused_until_a_valid_version_arrives() {
    let mut session = joined_node(2);
    session.clear();
    let mut corrupt = delta(2, 3);
    corrupt.routes.clear();
    let mut wrong = snapshot(4);
    wrong.stamp.digest = snapshot(1).stamp.digest;

    session.deliver_down(Down::Snapshot(Box::new(snapshot(1))));
    session.deliver_down(Down::Delta(Box::new(delta(1, 2))));
    session.deliver_down(Down::Delta(Box::new(corrupt)));
    session.deliver_down(Down::Snapshot(Box::new(wrong)));
    session.deliver_down(Down::Snapshot(Box::new(incomplete(5, |config| {
        config.clusters.clear();
    }))));
    session.run(Span::seconds(1));
    session.deliver_down(Down::Snapshot(Box::new(incomplete(6, |config| {
        config.secrets.clear();
    }))));
    session.run(Span::seconds(1));
    let while_refusing = session.held();
    session.deliver_down(Down::Snapshot(Box::new(snapshot(7))));
    session.run(Span::seconds(1));

    assert_eq!(while_refusing, snapshot(2).stamp);
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_newer_version_seen_makes_the_node_a_laggard() {
    let mut session = joined_node(2);

    session.deliver_down(Down::Heartbeat(snapshot(3).stamp));

    let laggards = session.dump().report.laggards;
    assert_eq!(laggards.len(), 1);
    assert_eq!(laggards[0].held, Version::new(2));
}

#[test]
fn a_delta_to_a_held_version_requests_nothing() {
    let mut session = joined_node(2);
    session.clear();

    session.deliver_down(Down::Delta(Box::new(delta(1, 2))));

    assert_eq!(session.commands().count(), 0);
}

#[test]
fn a_child_that_requests_the_whole_snapshot_receives_it() {
    let mut session = joined_node(2);
    session.deliver_join_request(1, hello(3, 2));
    session.clear();

    session.deliver_up(1, Up::SnapshotRequest);

    let sent: Vec<_> = session.commands().collect();
    let whole = Command::Down {
        sessions: vec![LinkId(1)],
        message: Arc::new(Down::Snapshot(Box::new(snapshot(2)))),
    };
    assert_eq!(sent, [&whole]);
}
