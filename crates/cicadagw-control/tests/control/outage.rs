//! Tests of platform outages and of a platform restored from a backup.

use cicadagw_config::Delta;
use cicadagw_control::Effect;
use cicadagw_control::Scope;
use cicadagw_control::platform::{Purpose, Request, Response};
use cicadagw_endpoint::{Record, State};
use cicadagw_platform::{Error, Key, Object, Revision};
use cicadagw_unit::time::Span;
use cicadagw_wire::{Down, Refusal, Up};

use crate::fixture::{hello, record, settings, snapshot};
use crate::session::Session;
use crate::store::Store;

/// Time within which an accepted change must be in force on every node.
const IN_FORCE_MAX: Span = Span::seconds(3);

/// Creates a root of the fleet that holds `version`.
fn fleet_root(version: u64) -> Session {
    let mut session = Session::new(&settings(1), Store::holding(version));
    session.run(Span::seconds(4));
    session.clear();
    session
}

/// Returns the number of requests for `purpose`.
fn writes(session: &Session, purpose: Purpose) -> usize {
    let calls = session.effects.iter().filter_map(|effect| match effect {
        Effect::Platform(call) => Some(call.purpose),
        _ => None,
    });
    calls.filter(|made| *made == purpose).count()
}

#[test]
fn a_long_outage_loses_no_lease_and_children_are_still_served() {
    let mut session = fleet_root(2);

    session.store.unavailable = true;
    session.run(Span::seconds(600));
    session.deliver_join_request(1, hello(2, 0));
    session.deliver_join_request(3, hello(3, 1));
    let calls = session.calls;
    session.store.unavailable = false;
    session.store.accept(3);
    session.clear();
    session.run(Span::seconds(3));

    assert_eq!(session.held(), snapshot(3).stamp);
    assert!(calls < 600 * 6, "{calls} platform calls in 600 s");
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_change_that_no_watch_delivers_is_adopted_in_time() {
    let mut session = fleet_root(2);
    session.is_deaf = true;
    session.run(Span::seconds(21));

    session.store.accept(3);
    session.run(IN_FORCE_MAX);

    assert_eq!(session.held(), snapshot(3).stamp);
}

#[test]
fn failed_directory_writes_are_retried_at_a_bounded_rate() {
    let mut session = Session::new(&settings(1), Store::holding(1));
    session.run(Span::new(200));
    session.store.unavailable = true;
    session.clear();

    session.run(Span::seconds(60));

    let attempts = writes(&session, Purpose::Directory);
    assert!((1..=13).contains(&attempts), "{attempts} writes in 60 s");
}

#[test]
fn a_root_that_regains_its_lease_rewrites_the_directory() {
    let mut session = fleet_root(1);

    session.suspend(Span::seconds(10));
    session.store.assign_lease(Scope::Domain, 5);
    session.run(Span::seconds(2));
    session.clear();
    session.run(Span::seconds(12));

    assert_eq!(session.dump().leases[&Scope::Domain], "held");
    assert_eq!(writes(&session, Purpose::Directory), 1);
}

#[test]
fn a_late_part_of_an_abandoned_fetch_is_ignored() {
    let mut session = fleet_root(2);
    let incomplete = {
        let mut head = session.store.head();
        let parts = head.history[0].parts.clone();
        head.history[0].stamp = snapshot(9).stamp;
        head.history[0].parts = parts.iter().chain(&parts).copied().collect();
        head
    };
    session
        .store
        .write(Key::head(), serde_json::to_vec(&incomplete).unwrap());
    session.run_answering(Span::new(100), |call| {
        !matches!(call.purpose, Purpose::Part(_))
    });
    session.reply_to(
        Purpose::Part(0),
        Err(Error::Unavailable("unavailable".to_owned())),
    );
    session.store.replace_head(3);
    session.run_answering(Span::seconds(2), |call| {
        !matches!(call.purpose, Purpose::Part(_))
    });
    let late = Object {
        key: Key::part(snapshot(9).stamp.digest),
        revision: Revision::new(1),
        value: b"late".as_slice().to_vec().into(),
    };
    session.reply_to(Purpose::Part(1), Ok(Response::Object(Some(late))));
    session.run(Span::seconds(3));

    assert_eq!(session.held(), snapshot(3).stamp);
}

#[test]
fn a_platform_restored_to_lower_revisions_is_followed() {
    let mut session = fleet_root(2);
    let backup = Store::holding(2);
    session.store.accept(3);
    session.run(Span::seconds(1));

    session.store.restore(backup);
    session.store.accept(3);
    session.store.accept(4);
    session.run(Span::seconds(45));

    assert_eq!(session.held(), snapshot(4).stamp);
}

#[test]
fn a_fleet_root_without_platform_joins_a_newer_fleet_root() {
    let mut session = fleet_root(2);
    session.store.unavailable = true;
    session.deliver_join_request(1, hello(2, 2));
    let other = Record {
        domain: "kochi-b".parse().unwrap(),
        ..record(5, "e5", 1, State::Ready)
    };
    session.deliver_up(1, Up::Endpoints(vec![other]));

    // Meanwhile another node became the fleet root, unknown to this one.
    let dialed = session.run_until_dial();
    session.accept_dial(&[6, 5]);
    session.deliver_down(Down::Snapshot(Box::new(snapshot(3))));

    assert_eq!(dialed, 5);
    assert_eq!(session.held(), snapshot(3).stamp);
}

#[test]
fn a_fleet_root_without_platform_keeps_its_lease_if_others_are_descendants() {
    let mut session = fleet_root(2);
    session.store.unavailable = true;
    let other = Record {
        domain: "kochi-b".parse().unwrap(),
        ..record(5, "e5", 1, State::Ready)
    };
    session.deliver_join_request(1, hello(2, 2));
    session.deliver_up(1, Up::Endpoints(vec![other]));

    session.run_until_dial();
    session.deliver_refused(Refusal::Loop);
    session.run(Span::seconds(60));

    assert_eq!(session.dump().leases[&Scope::Fleet], "held");
    assert!(
        session.dialed_nodes().len() < 30,
        "{:?}",
        session.dialed_nodes()
    );
    let watched = session.effects.iter().any(|effect| {
        matches!(effect, Effect::Platform(call) if matches!(call.request, Request::Watch { .. }))
    });
    assert!(watched);
}

#[test]
fn a_partitioned_root_catches_up_after_the_partition_heals() {
    let mut session = Session::new(&settings(1), Store::holding(2));
    session.store.assign_lease(Scope::Region, 5);
    session.run_until_dial();
    session.accept_dial(&[6, 5]);
    session.deliver_down(Down::Snapshot(Box::new(snapshot(2))));
    session.store.unavailable = true;
    session.close_parent_link();
    session.run(Span::seconds(60));

    session.deliver_join_request(1, hello(2, 0));
    session.store.unavailable = false;
    session.store.assign_lease(Scope::Region, 7);
    session.clear();
    let dialed = session.last_dial_after(Span::seconds(5));
    session.accept_dial(&[6, 7]);
    session.deliver_down(Down::Delta(Box::new(Delta::between(
        &snapshot(2),
        &snapshot(3),
    ))));

    assert_eq!(dialed, Some(7));
    assert_eq!(session.held(), snapshot(3).stamp);
    assert_eq!(session.dump().leases[&Scope::Domain], "held");
    insta::assert_snapshot!(session.transcript());
}
