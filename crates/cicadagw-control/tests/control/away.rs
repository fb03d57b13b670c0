//! The platform is away, comes back, or comes back as it was before.

use cicadagw_config::Delta;
use cicadagw_control::Effect;
use cicadagw_control::Rank;
use cicadagw_control::platform::{Purpose, Request, Response};
use cicadagw_endpoint::{Record, State};
use cicadagw_platform::{Error, Key, Object, Revision};
use cicadagw_unit::time::Span;
use cicadagw_wire::{Down, Refusal, Up};

use crate::fixture::{hello, record, settings, snapshot};
use crate::session::Session;
use crate::store::Store;

/// The root of everything, which holds `version`.
fn apex(version: u64) -> Session {
    let mut session = Session::new(&settings(1), Store::holding(version));
    session.run(Span::seconds(4));
    session.forget();
    session
}

fn writes(session: &Session, purpose: Purpose) -> usize {
    let calls = session.effects.iter().filter_map(|effect| match effect {
        Effect::Platform(call) => Some(call.purpose),
        _ => None,
    });
    calls.filter(|made| *made == purpose).count()
}

#[test]
fn a_long_outage_costs_no_lease_and_the_subtree_is_served() {
    let mut session = apex(2);

    session.store.away = true;
    session.run(Span::seconds(600));
    session.joining(1, hello(2, 0));
    session.joining(3, hello(3, 1));
    let calls = session.calls;
    session.store.away = false;
    session.store.accept(3);
    session.forget();
    session.run(Span::seconds(3));

    assert_eq!(session.held(), snapshot(3).stamp);
    assert!(calls < 600 * 6, "{calls} calls in 600 s");
    insta::assert_snapshot!(session.told());
}

#[test]
fn a_directory_that_cannot_be_written_is_tried_at_a_bounded_rate() {
    let mut session = Session::new(&settings(1), Store::holding(1));
    session.run(Span::new(200));
    session.store.away = true;
    session.forget();

    session.run(Span::seconds(60));

    let tries = writes(&session, Purpose::Directory);
    assert!((1..=13).contains(&tries), "{tries} tries in 60 s");
}

#[test]
fn a_root_that_returns_writes_its_directory_anew() {
    let mut session = apex(1);

    session.freeze(Span::seconds(10));
    session.store.give(Rank::Domain, 5);
    session.run(Span::seconds(2));
    session.forget();
    session.run(Span::seconds(12));

    assert_eq!(session.dump().leases[&Rank::Domain], "held");
    assert_eq!(writes(&session, Purpose::Directory), 1);
}

#[test]
fn a_late_part_of_an_abandoned_fetch_does_no_harm() {
    let mut session = apex(2);
    let wide = {
        let mut head = session.store.head();
        let parts = head.history[0].parts.clone();
        head.history[0].stamp = snapshot(9).stamp;
        head.history[0].parts = parts.iter().chain(&parts).copied().collect();
        head
    };
    session
        .store
        .write(Key::head(), serde_json::to_vec(&wide).unwrap());
    session.run_with(Span::new(100), |call| {
        !matches!(call.purpose, Purpose::Part(_))
    });
    session.reply_to(Purpose::Part(0), Err(Error::Unavailable("away".to_owned())));
    session.store.accept_over(3);
    session.run_with(Span::seconds(2), |call| {
        !matches!(call.purpose, Purpose::Part(_))
    });
    let late = Object {
        key: Key::part(snapshot(9).stamp.digest),
        revision: Revision(1),
        value: b"late".as_slice().to_vec().into(),
    };
    session.reply_to(Purpose::Part(1), Ok(Response::Object(Some(late))));
    session.run(Span::seconds(3));

    assert_eq!(session.held(), snapshot(3).stamp);
}

#[test]
fn a_head_with_lower_revisions_is_followed() {
    let mut session = apex(2);
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
fn a_root_of_all_without_platform_goes_below_a_newer_one() {
    let mut session = apex(2);
    session.store.away = true;
    session.joining(1, hello(2, 2));
    let other = Record {
        domain: "kochi-b".parse().unwrap(),
        ..record(5, "e5", 1, State::Ready)
    };
    session.up(1, Up::Endpoints(vec![other]));

    // Another node became the root of all, out of sight.
    let dialled = session.dials();
    session.joined(&[6, 5]);
    session.down(Down::Snapshot(Box::new(snapshot(3))));

    assert_eq!(dialled, 5);
    assert_eq!(session.held(), snapshot(3).stamp);
}

#[test]
fn a_root_of_all_without_platform_stays_when_all_hang_below_it() {
    let mut session = apex(2);
    session.store.away = true;
    let other = Record {
        domain: "kochi-b".parse().unwrap(),
        ..record(5, "e5", 1, State::Ready)
    };
    session.joining(1, hello(2, 2));
    session.up(1, Up::Endpoints(vec![other]));

    session.dials();
    session.refused(Refusal::Loop);
    session.run(Span::seconds(60));

    assert_eq!(session.dump().leases[&Rank::Fleet], "held");
    assert!(
        session.dials_made().len() < 30,
        "{:?}",
        session.dials_made()
    );
    let watched = session.effects.iter().any(|effect| {
        matches!(effect, Effect::Platform(call) if matches!(call.request, Request::Watch { .. }))
    });
    assert!(watched);
}

#[test]
fn a_root_that_was_cut_off_catches_up_when_the_cut_heals() {
    let mut session = Session::new(&settings(1), Store::holding(2));
    session.store.give(Rank::Region, 5);
    session.dials();
    session.joined(&[6, 5]);
    session.down(Down::Snapshot(Box::new(snapshot(2))));
    session.store.away = true;
    session.closed();
    session.run(Span::seconds(60));

    session.joining(1, hello(2, 0));
    session.store.away = false;
    session.store.give(Rank::Region, 7);
    session.forget();
    let dialled = session.dials_after(Span::seconds(5));
    session.joined(&[6, 7]);
    session.down(Down::Delta(Box::new(Delta::between(
        &snapshot(2),
        &snapshot(3),
    ))));

    assert_eq!(dialled, Some(7));
    assert_eq!(session.held(), snapshot(3).stamp);
    assert_eq!(session.dump().leases[&Rank::Domain], "held");
    insta::assert_snapshot!(session.told());
}
