//! What a node does with the versions that it is offered.

use std::sync::Arc;

use cicadagw_config::{Delta, Snapshot};
use cicadagw_endpoint::State;
use cicadagw_unit::Version;
use cicadagw_unit::time::Span;
use cicadagw_wire::link::{Command, Session as Link};
use cicadagw_wire::{Down, Up};

use crate::fixture::{hello, local, report, seeded, settings, snapshot};
use crate::session::Session;
use crate::store::Store;

/// A node that joined a parent and holds `version`.
fn follower(version: u64) -> Session {
    let mut session = Session::new(&seeded(2, &[1]), Store::default());
    session.store.away = true;
    session.dials();
    session.joined(&[1]);
    session.down(Down::Snapshot(Box::new(snapshot(version))));
    session
}

fn delta(from: u64, to: u64) -> Delta {
    Delta::between(&snapshot(from), &snapshot(to))
}

/// A snapshot with the right digest that lacks what `remove` takes away.
fn dangling(version: u64, remove: fn(&mut cicadagw_config::Config)) -> Snapshot {
    let whole = snapshot(version);
    let mut config = whole.config;
    remove(&mut config);
    Snapshot::new(Version::new(version), whole.preset, config)
}

#[test]
fn a_first_node_climbs_every_lease_and_serves() {
    let mut session = Session::new(&settings(1), Store::holding(2));

    session.local(local("e1", State::Ready));
    session.run(Span::seconds(4));
    session.joining(1, hello(2, 0));
    session.up(1, Up::Report(Box::new(report(2, 1, 0))));
    session.store.accept(3);
    session.run(Span::seconds(2));

    insta::assert_snapshot!(session.told());
}

#[test]
fn a_follower_takes_a_whole_snapshot_and_then_deltas() {
    let mut session = Session::new(&seeded(2, &[1]), Store::default());

    session.store.away = true;
    session.dials();
    session.joined(&[1]);
    session.joining(1, hello(3, 0));
    session.down(Down::Snapshot(Box::new(snapshot(1))));
    session.down(Down::Delta(Box::new(delta(1, 2))));
    session.down(Down::Delta(Box::new(delta(2, 3))));
    session.joining(3, hello(4, 2));

    insta::assert_snapshot!(session.told());
}

#[test]
fn what_cannot_be_held_is_refused_whole_until_a_good_version_comes() {
    let mut session = follower(2);
    session.forget();
    let mut corrupt = delta(2, 3);
    corrupt.routes.clear();
    let mut wrong = snapshot(4);
    wrong.stamp.digest = snapshot(1).stamp.digest;

    session.down(Down::Snapshot(Box::new(snapshot(1))));
    session.down(Down::Delta(Box::new(delta(1, 2))));
    session.down(Down::Delta(Box::new(corrupt)));
    session.down(Down::Snapshot(Box::new(wrong)));
    session.down(Down::Snapshot(Box::new(dangling(5, |config| {
        config.clusters.clear();
    }))));
    session.run(Span::seconds(1));
    session.down(Down::Snapshot(Box::new(dangling(6, |config| {
        config.secrets.clear();
    }))));
    session.run(Span::seconds(1));
    let while_refusing = session.held();
    session.down(Down::Snapshot(Box::new(snapshot(7))));
    session.run(Span::seconds(1));

    assert_eq!(while_refusing, snapshot(2).stamp);
    insta::assert_snapshot!(session.told());
}

#[test]
fn a_newer_version_elsewhere_names_the_node_as_behind() {
    let mut session = follower(2);

    session.down(Down::Heartbeat(snapshot(3).stamp));

    let laggards = session.dump().report.laggards;
    assert_eq!(laggards.len(), 1);
    assert_eq!(laggards[0].held, Version::new(2));
}

#[test]
fn a_delta_to_a_version_that_is_held_is_no_cause_for_a_whole_snapshot() {
    let mut session = follower(2);
    session.forget();

    session.down(Down::Delta(Box::new(delta(1, 2))));

    assert_eq!(session.commands().count(), 0);
}

#[test]
fn a_child_that_wants_the_whole_snapshot_gets_it() {
    let mut session = follower(2);
    session.joining(1, hello(3, 2));
    session.forget();

    session.up(1, Up::SnapshotRequest);

    let sent: Vec<_> = session.commands().collect();
    let whole = Command::Down {
        sessions: vec![Link(1)],
        message: Arc::new(Down::Snapshot(Box::new(snapshot(2)))),
    };
    assert_eq!(sent, [&whole]);
}
