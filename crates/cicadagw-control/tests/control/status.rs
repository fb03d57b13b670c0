//! Tests of the status: bounded write rate, complete counts, and laggards by name.

use cicadagw_control::Effect;
use cicadagw_control::platform::Purpose;
use cicadagw_platform::Key;
use cicadagw_unit::Version;
use cicadagw_unit::time::Span;
use cicadagw_wire::{Laggard, Reason, Status, Up};

use crate::fixture::{DOMAIN, hello, member, report, settings};
use crate::session::Session;
use crate::store::Store;

/// Creates a root of the fleet with one child.
fn root() -> Session {
    let mut session = Session::new(&settings(1), Store::holding(2));
    session.run(Span::seconds(4));
    session.deliver_join_request(1, hello(2, 2));
    session.deliver_up(1, Up::Report(Box::new(report(2, 1, 0))));
    session.run(Span::seconds(1));
    session.clear();
    session
}

/// Returns the status that is stored at the platform.
fn written_status(session: &Session) -> Status {
    let key = Key::status(&DOMAIN.parse().unwrap());
    serde_json::from_slice(&session.store.read(&key).unwrap()).unwrap()
}

/// Returns the node with this number as a laggard that is at version `held`.
fn laggard(number: u16, held: u64) -> Laggard {
    Laggard {
        node: member(number).node,
        held: Version::new(held),
        reason: Reason::Behind,
    }
}

#[test]
fn a_constantly_changing_status_is_written_once_per_second() {
    let mut session = root();

    for count in 0..100 {
        session.deliver_up(1, Up::Report(Box::new(report(2, 1 + count, count))));
        session.run(Span::new(100));
    }

    let writes = session.effects.iter().filter(
        |effect| matches!(effect, Effect::Platform(call) if call.purpose == Purpose::Status),
    );
    assert_eq!(writes.count(), 10);
}

#[test]
fn a_child_that_has_not_reported_the_new_version_is_a_laggard() {
    let mut session = root();

    session.store.accept(3);
    session.run(Span::seconds(2));
    let meanwhile = written_status(&session);
    session.deliver_up(1, Up::Report(Box::new(report(3, 1, 0))));
    session.run(Span::seconds(2));

    assert_eq!(meanwhile.report.lowest, Version::new(2));
    assert_eq!(meanwhile.report.laggards.to_vec(), [laggard(2, 2)]);
    assert_eq!(written_status(&session).report, report(3, 2, 0));
}

#[test]
fn only_the_laggards_furthest_behind_are_named() {
    let mut session = root();
    let mut first = report(1, 6, 0);
    first.laggards = [5, 4, 3, 1].iter().map(|held| laggard(10, *held)).collect();
    session.deliver_join_request(3, hello(3, 2));
    let mut second = report(1, 6, 0);
    second.laggards = [6, 2, 1].iter().map(|held| laggard(20, *held)).collect();

    session.deliver_up(1, Up::Report(Box::new(first)));
    session.deliver_up(3, Up::Report(Box::new(second)));
    session.run(Span::seconds(2));

    let report = written_status(&session).report;
    let held: Vec<_> = report
        .laggards
        .iter()
        .map(|laggard| laggard.held.get())
        .collect();
    assert_eq!(report.count, 13);
    assert_eq!(held, [1, 1, 2, 3]);
}

#[test]
fn a_child_whose_link_is_closed_is_not_counted() {
    let mut session = root();

    session.close_child_link(1);
    session.run(Span::seconds(2));

    assert_eq!(written_status(&session).report, report(2, 1, 0));
}

#[test]
fn an_idle_fleet_root_makes_few_platform_calls() {
    let mut session = root();

    for _ in 0..60 {
        session.run(Span::seconds(1));
        session.deliver_up(1, Up::Report(Box::new(report(2, 1, 0))));
    }

    // Three leases renewed every 2 s, the status written every 10 s, a watch every 2 s and a read
    // every 20 s.
    assert_eq!(session.calls, 3 * 30 + 6 + 30 + 3);
}
