//! News of endpoints: announced, draining, gone, refuted, and found dead by a census.

use cicadagw_endpoint::{Record, State};
use cicadagw_unit::Digest;
use cicadagw_unit::time::Span;
use cicadagw_wire::link::Command;
use cicadagw_wire::{Down, Up};

use crate::fixture::{hello, local, member, record, report, seeded, settings};
use crate::session::Session;
use crate::store::Store;

/// A node that joined a parent.
fn follower() -> Session {
    let mut session = Session::new(&seeded(2, &[1]), Store::default());
    session.store.away = true;
    session.dials();
    session.joined(&[1]);
    session.forget();
    session
}

/// The root of everything.
fn apex() -> Session {
    let mut session = Session::new(&settings(1), Store::holding(1));
    session.run(Span::seconds(4));
    session.forget();
    session
}

fn known(session: &Session, endpoint: &str) -> Option<Record> {
    let dump = session.dump();
    dump.endpoints.get(&endpoint.parse().unwrap()).cloned()
}

fn state(session: &Session, endpoint: &str) -> Option<State> {
    known(session, endpoint).map(|record| record.state)
}

#[test]
fn a_backend_server_is_announced_drained_and_gone() {
    let mut session = follower();
    session.joining(1, hello(3, 0));
    session.forget();

    session.local(local("e1", State::Ready));
    session.local(local("e1", State::Ready));
    session.run(Span::new(100));
    session.local(local("e1", State::Draining));
    session.local(local("e1", State::Gone));

    insta::assert_snapshot!(session.told());
}

#[test]
fn news_goes_to_all_but_its_source() {
    let mut session = follower();
    session.joining(1, hello(3, 0));
    session.joining(3, hello(4, 0));
    session.forget();

    session.up(1, Up::Endpoints(vec![record(3, "e3", 1, State::Ready)]));
    session.run(Span::new(100));
    session.down(Down::Endpoints(vec![record(5, "e5", 1, State::Ready)]));
    session.up(3, Up::Endpoints(vec![record(5, "e5", 1, State::Ready)]));
    session.run(Span::new(100));

    insta::assert_snapshot!(session.told());
}

#[test]
fn a_false_burial_is_refuted() {
    let mut session = follower();
    session.local(local("e1", State::Ready));
    session.run(Span::new(100));

    session.down(Down::Endpoints(vec![record(2, "e1", 2, State::Gone)]));
    session.run(Span::new(100));

    assert_eq!(
        known(&session, "e1"),
        Some(record(2, "e1", 3, State::Ready))
    );
    assert_eq!(
        session.news_up().last(),
        Some(&record(2, "e1", 3, State::Ready))
    );
}

#[test]
fn a_restarted_node_claims_its_endpoint_or_ends_it() {
    let mut session = follower();

    let old = vec![
        record(2, "e1", 7, State::Ready),
        record(2, "e2", 4, State::Ready),
    ];
    session.down(Down::Endpoints(old));
    session.local(local("e1", State::Ready));
    session.run_hearing(Span::seconds(8));

    assert_eq!(
        known(&session, "e1"),
        Some(record(2, "e1", 8, State::Ready))
    );
    assert_eq!(known(&session, "e2"), Some(record(2, "e2", 5, State::Gone)));
}

#[test]
fn what_a_node_ended_itself_no_old_news_revives() {
    let mut session = follower();
    session.local(local("e1", State::Gone));

    session.down(Down::Endpoints(vec![record(2, "e1", 7, State::Ready)]));

    assert_eq!(known(&session, "e1"), Some(record(2, "e1", 8, State::Gone)));
}

#[test]
fn news_that_came_while_the_parent_was_asked_reaches_it() {
    let mut session = Session::new(&seeded(2, &[1]), Store::default());
    session.store.away = true;
    session.joining(1, hello(3, 0));
    session.dials();

    session.up(1, Up::Endpoints(vec![record(3, "e3", 1, State::Ready)]));
    session.run(Span::new(100));
    session.joined(&[1]);
    session.down(Down::Digests(std::collections::BTreeMap::new()));

    assert_eq!(session.news_up(), [record(3, "e3", 1, State::Ready)]);
}

#[test]
fn a_parent_says_what_it_knows_also_to_a_child_that_knows_the_same() {
    let mut session = apex();
    session.up(1, Up::Endpoints(vec![record(3, "e3", 1, State::Ready)]));

    session.joining(1, hello(3, 0));

    let told = session.commands().any(|command| match command {
        Command::Down { message, .. } => matches!(&**message, Down::Digests(_)),
        _ => false,
    });
    assert!(told);
}

#[test]
fn a_census_buries_the_dead() {
    let mut session = apex();
    session.joining(1, hello(2, 1));
    session.up(
        1,
        Up::Endpoints(vec![
            record(2, "e2", 1, State::Ready),
            record(3, "e3", 1, State::Ready),
            record(4, "e4", 1, State::Ready),
        ]),
    );
    session.up(1, Up::Report(Box::new(report(1, 2, 2))));

    for _ in 0..6 {
        session.run(Span::seconds(1));
        session.up(1, Up::Report(Box::new(report(1, 2, 2))));
    }
    session.up(1, Up::Present(vec![member(2).node, member(4).node]));
    for _ in 0..4 {
        session.run(Span::seconds(1));
        session.up(1, Up::Report(Box::new(report(1, 2, 2))));
    }

    assert_eq!(state(&session, "e2"), Some(State::Ready));
    assert_eq!(state(&session, "e3"), Some(State::Gone));
    assert_eq!(state(&session, "e4"), Some(State::Ready));
}

#[test]
fn a_node_answers_a_census_for_those_below_it() {
    let mut session = follower();
    session.joining(1, hello(3, 0));
    session.forget();

    session.down(Down::Census);
    session.up(1, Up::Present(vec![member(3).node, member(4).node]));
    session.run(Span::new(100));

    insta::assert_snapshot!(session.told());
}

#[test]
fn old_news_of_a_dead_node_that_was_forgotten_is_buried_again() {
    let mut session = apex();
    session.joining(1, hello(2, 1));
    session.up(1, Up::Endpoints(vec![record(3, "e3", 2, State::Gone)]));
    for _ in 0..610 {
        session.run(Span::seconds(1));
        session.up(1, Up::Report(Box::new(report(1, 1, 0))));
    }
    let forgotten = known(&session, "e3");

    // A failure domain that was cut off since before the end returns.
    session.up(1, Up::Endpoints(vec![record(3, "e3", 1, State::Ready)]));
    for _ in 0..10 {
        session.run(Span::seconds(1));
        session.up(1, Up::Report(Box::new(report(1, 1, 0))));
    }

    assert_eq!(forgotten, None);
    assert_eq!(state(&session, "e3"), Some(State::Gone));
}

#[test]
fn two_records_of_one_sequence_number_end_up_as_one() {
    let drained = record(3, "e3", 2, State::Draining);
    let ended = record(3, "e3", 2, State::Gone);
    let mut first = follower();
    let mut second = follower();

    first.down(Down::Endpoints(vec![drained.clone()]));
    first.down(Down::Endpoints(vec![ended.clone()]));
    second.down(Down::Endpoints(vec![ended]));
    second.down(Down::Endpoints(vec![drained]));

    assert_eq!(state(&first, "e3"), Some(State::Gone));
    assert_eq!(state(&second, "e3"), Some(State::Gone));
}

#[test]
fn a_node_sends_what_its_parent_lacks() {
    let mut session = follower();
    session.joining(1, hello(3, 0));
    session.up(1, Up::Endpoints(vec![record(3, "e3", 1, State::Ready)]));
    session.run(Span::new(100));
    session.forget();

    session.down(Down::Digests(
        [("kochi-a".parse().unwrap(), Digest::default())].into(),
    ));

    assert_eq!(session.news_up(), [record(3, "e3", 1, State::Ready)]);
}

/// Lets time pass with a child of which one node serves.
fn run_with_child(session: &mut Session, seconds: u64) {
    for _ in 0..seconds {
        session.run(Span::seconds(1));
        session.up(1, Up::Report(Box::new(report(1, 1, 0))));
    }
}

#[test]
fn a_node_that_refuted_its_burial_is_left_alone_for_a_while() {
    let mut session = apex();
    session.joining(1, hello(2, 1));
    session.up(1, Up::Endpoints(vec![record(3, "e3", 1, State::Ready)]));
    run_with_child(&mut session, 10);
    let ended = known(&session, "e3");

    // The node lives, but hangs below another root for now.
    session.up(1, Up::Endpoints(vec![record(3, "e3", 3, State::Ready)]));
    run_with_child(&mut session, 30);
    let refuted = known(&session, "e3");
    run_with_child(&mut session, 60);

    assert_eq!(ended, Some(record(3, "e3", 2, State::Gone)));
    assert_eq!(refuted, Some(record(3, "e3", 3, State::Ready)));
    assert_eq!(state(&session, "e3"), Some(State::Gone));
}
