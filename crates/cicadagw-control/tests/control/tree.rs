//! The place of a node in the tree: joining, climbing, descending, loops, admission.

use cicadagw_control::Rank;
use cicadagw_unit::time::Span;
use cicadagw_wire::link::Command;
use cicadagw_wire::{Down, Refusal, Up};

use crate::fixture::{hello, member, record, report, seeded, settings, snapshot};
use crate::session::{Session, members};
use crate::store::Store;

/// A node without platform that knows `seeds`.
fn cut_off(number: u16, seeds: &[u16]) -> Session {
    let mut session = Session::new(&seeded(number, seeds), Store::default());
    session.store.away = true;
    session
}

/// A node without platform that hangs below the nodes of `path`, all of its failure domain.
fn below(path: &[u16]) -> Session {
    let mut session = cut_off(9, &path[path.len() - 1..]);
    session.dials();
    session.joined(path);
    let records = path.iter().map(|number| {
        let endpoint = format!("e{number}");
        record(*number, &endpoint, 1, cicadagw_endpoint::State::Ready)
    });
    session.down(Down::Endpoints(records.collect()));
    session.run(Span::new(100));
    session.forget();
    session
}

#[test]
fn a_node_whose_parent_dies_climbs_to_the_grandparent() {
    let mut session = below(&[1, 2, 3]);
    session.joining(1, hello(10, 0));

    session.closed();
    let dialled = session.dials();
    session.joined(&[1, 2]);

    assert_eq!(dialled, 2);
    insta::assert_snapshot!(session.told());
}

#[test]
fn a_silent_parent_is_left() {
    let mut session = below(&[1, 2, 3]);

    session.run(Span::seconds(7));

    assert_eq!(session.dials_made().first(), Some(&2));
}

#[test]
fn a_node_descends_below_a_full_one() {
    let mut session = cut_off(9, &[1]);

    session.dials();
    session.refused(Refusal::Full(vec![member(3)]));
    let dialled = session.dials();

    assert_eq!(dialled, 3);
}

#[test]
fn a_node_asks_a_busy_parent_again_after_a_wait() {
    let mut session = cut_off(9, &[1]);

    session.dials();
    session.refused(Refusal::Busy(Span::seconds(1)));
    session.run(Span::new(900));
    let meanwhile = session.dials_made();
    let dialled = session.dials();

    assert_eq!(meanwhile, [1]);
    assert_eq!(dialled, 1);
}

#[test]
fn dead_candidates_are_passed_quickly() {
    let seeds = [1, 2, 3, 4];
    let mut session = cut_off(9, &seeds);

    for _ in seeds {
        session.dials();
        session.closed();
    }
    session.forget();
    session.run(Span::seconds(1));

    // All four were asked, and then all of them anew.
    assert!(!session.dials_made().is_empty());
}

#[test]
fn a_loop_is_found_by_the_path_and_forgotten_with_it() {
    let mut session = below(&[1, 2]);
    session.joining(1, hello(10, 0));

    session.down(Down::Path(Box::new(members(&[9, 10, 2]))));

    insta::assert_snapshot!(session.told());
}

#[test]
fn a_new_root_takes_its_former_parent() {
    let mut session = below(&[1]);
    session.store.away = false;
    session.closed();
    session.run(Span::seconds(3));

    session.joining(1, hello(1, 0));

    assert_eq!(session.dump().leases[&Rank::Fleet], "held");
    assert_eq!(session.last_answer(), Some(Ok(())));
}

#[test]
fn of_two_nodes_that_ask_each_other_one_is_taken() {
    let mut first = cut_off(1, &[2]);
    let mut second = cut_off(2, &[1]);

    first.dials();
    second.dials();
    first.joining(1, hello(2, 0));
    second.joining(1, hello(1, 0));

    let taken = [first.last_answer(), second.last_answer()];
    assert_eq!(
        taken
            .iter()
            .filter(|answer| **answer == Some(Ok(())))
            .count(),
        1
    );
}

#[test]
fn the_one_that_holds_more_stands_above() {
    let mut session = cut_off(1, &[5]);
    session.dials();
    session.closed();

    session.joining(1, hello(2, 4));
    let dialled = session.dials();

    assert!(matches!(session.last_answer(), Some(Err(Refusal::Busy(_)))));
    assert_eq!(dialled, 2);
}

#[test]
fn only_as_many_children_are_sent_whole_snapshots_as_may_be() {
    let mut settings = seeded(9, &[1]);
    settings.budget.whole_syncs = cicadagw_unit::size::Slots::new(2);
    let mut session = Session::new(&settings, Store::default());
    session.store.away = true;
    session.dials();
    session.joined(&[1]);
    session.down(Down::Snapshot(Box::new(snapshot(2))));
    session.forget();

    session.joining(1, hello(11, 0));
    // The first report is sent before the snapshot has come.
    session.up(1, Up::Report(Box::new(report(0, 1, 0))));
    session.joining(3, hello(12, 0));
    session.up(3, Up::Report(Box::new(report(0, 1, 0))));
    session.joining(5, hello(13, 0));
    session.joining(7, hello(14, 1));
    session.joining(9, hello(15, 2));
    session.up(1, Up::Report(Box::new(report(2, 1, 0))));
    session.joining(11, hello(13, 0));

    insta::assert_snapshot!(session.told());
}

#[test]
fn a_herd_asks_the_platform_little() {
    let nodes = 163;
    let mut store = Store::holding(1);
    store.give(Rank::Domain, 500);
    let mut herd: Vec<Session> = (1..=nodes)
        .map(|number| Session::seeded(&settings(number), u64::from(number), Store::default()))
        .collect();

    // No node finds another: only the platform answers.
    for _ in 0..120 {
        for session in &mut herd {
            std::mem::swap(&mut session.store, &mut store);
            session.run(Span::new(100));
            std::mem::swap(&mut session.store, &mut store);
        }
    }

    let leases = herd.iter().map(|session| session.dump().leases);
    let roots = leases
        .filter(|leases| leases[&Rank::Fleet] == "held")
        .count();
    let calls: usize = herd.iter().map(|session| session.calls).sum();
    assert_eq!(roots, 1);
    // Each orphan reads the lease of its failure domain six times in 12 s, and the one root makes
    // a few dozen calls.
    assert!(calls <= usize::from(nodes) * 6 + 60, "{calls} calls");
}

#[test]
fn a_cut_failure_domain_serves_a_node_that_returns() {
    let mut session = cut_off(9, &[1, 2]);

    let dialled = session.dials();
    session.joined(&[4, dialled]);
    session.down(Down::Digests(
        [("kochi-a".parse().unwrap(), cicadagw_unit::Digest::default())].into(),
    ));
    session.down(Down::Endpoints(vec![record(
        1,
        "e1",
        3,
        cicadagw_endpoint::State::Ready,
    )]));
    session.down(Down::Snapshot(Box::new(snapshot(5))));
    session.run(Span::seconds(1));

    assert_eq!(session.held(), snapshot(5).stamp);
    insta::assert_snapshot!(session.told());
}

#[test]
fn a_root_that_rises_forgets_the_path_to_its_former_parent() {
    let mut session = Session::new(&settings(1), Store::holding(1));
    session.store.give(Rank::Region, 5);
    session.dials();
    session.joined(&[6, 5]);

    // The holder lives, but renews its lease no more.
    session.run_hearing(Span::seconds(12));
    session.joining(1, hello(5, 0));

    assert_eq!(session.dump().leases[&Rank::Region], "held");
    assert_eq!(session.last_answer(), Some(Ok(())));
}

#[test]
fn a_node_whose_root_dies_stays_in_its_failure_domain_and_claims_the_lease() {
    let mut session = below(&[1]);
    session.store.away = false;
    session.store.give(Rank::Domain, 1);
    // The root of the region, in another failure domain, stands above the root that dies.
    session.down(Down::Path(Box::new(members(&[6, 1]))));

    session.closed();
    session.run(Span::seconds(12));

    assert!(
        !session.dials_made().contains(&6),
        "{:?}",
        session.dials_made()
    );
    assert_eq!(session.dump().leases[&Rank::Domain], "held");
}

#[test]
fn a_herd_is_spread_over_the_children_of_a_root() {
    let mut session = Session::new(&settings(1), Store::holding(2));
    session.run(Span::seconds(4));
    session.forget();

    for number in 2..=163 {
        session.joining(u64::from(number) * 2 + 1, hello(number, 0));
    }

    let children: Vec<_> = (2..=9).map(member).collect();
    let answers = session.commands().filter_map(|command| match command {
        Command::Accept { .. } => Some(None),
        Command::Refuse { refusal, .. } => Some(Some(refusal.clone())),
        _ => None,
    });
    let (taken, refused): (Vec<_>, Vec<_>) = answers.partition(Option::is_none);
    let full = Some(Refusal::Full(children));
    assert_eq!(taken.len(), 8);
    assert_eq!(refused.len(), 154);
    assert!(refused.into_iter().all(|refusal| refusal == full));
    assert_eq!(session.calls, 0);
}

#[test]
fn a_child_that_comes_back_takes_its_own_place() {
    let mut session = below(&[1]);
    session.joining(1, hello(10, 0));
    session.forget();

    session.joining(3, hello(10, 0));

    let closed = session
        .commands()
        .any(|command| matches!(command, Command::Close { session } if session.0 == 1));
    assert!(closed);
    assert_eq!(session.dump().children, [member(10)]);
}

#[test]
fn what_a_closed_link_still_brings_is_not_taken() {
    let mut session = below(&[1]);
    session.closed();

    session.down(Down::Snapshot(Box::new(snapshot(3))));
    session.joining(1, hello(10, 0));
    session.close(1);
    session.up(
        1,
        Up::Endpoints(vec![record(10, "e10", 1, cicadagw_endpoint::State::Ready)]),
    );

    let endpoints = session.dump().endpoints;
    assert_eq!(session.held(), cicadagw_config::Stamp::default());
    assert_eq!(endpoints.get(&"e10".parse().unwrap()), None);
}
