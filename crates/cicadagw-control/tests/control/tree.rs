//! Tests of the tree: joining, failover to ancestors, full parents, loops and admission.

use cicadagw_control::Scope;
use cicadagw_unit::time::Span;
use cicadagw_wire::link::Command;
use cicadagw_wire::{Down, Refusal, Up};

use crate::fixture::{hello, member, record, report, seeded, settings, snapshot};
use crate::session::{Session, path_of};
use crate::store::Store;

/// Creates a node without access to the platform that has `seeds`.
fn without_platform(number: u16, seeds: &[u16]) -> Session {
    let mut session = Session::new(&seeded(number, seeds), Store::default());
    session.store.unavailable = true;
    session
}

/// Creates a node without access to the platform whose ancestors are the nodes of `path`, root
/// first and all in its failure domain.
fn descendant_of(path: &[u16]) -> Session {
    let mut session = without_platform(9, &path[path.len() - 1..]);
    session.run_until_dial();
    session.accept_dial(path);
    let records = path.iter().map(|number| {
        let endpoint = format!("e{number}");
        record(*number, &endpoint, 1, cicadagw_endpoint::State::Ready)
    });
    session.deliver_down(Down::Endpoints(records.collect()));
    session.run(Span::new(100));
    session.clear();
    session
}

#[test]
fn a_node_whose_parent_fails_joins_its_grandparent() {
    let mut session = descendant_of(&[1, 2, 3]);
    session.deliver_join_request(1, hello(10, 0));

    session.close_parent_link();
    let dialed = session.run_until_dial();
    session.accept_dial(&[1, 2]);

    assert_eq!(dialed, 2);
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_silent_parent_is_replaced() {
    let mut session = descendant_of(&[1, 2, 3]);

    session.run(Span::seconds(7));

    assert_eq!(session.dialed_nodes().first(), Some(&2));
}

#[test]
fn a_node_refused_as_full_dials_a_child_of_the_candidate() {
    let mut session = without_platform(9, &[1]);

    session.run_until_dial();
    session.deliver_refused(Refusal::Full(vec![member(3)]));
    let dialed = session.run_until_dial();

    assert_eq!(dialed, 3);
}

#[test]
fn a_busy_candidate_is_dialed_again_after_the_requested_wait() {
    let mut session = without_platform(9, &[1]);

    session.run_until_dial();
    session.deliver_refused(Refusal::Busy(Span::seconds(1)));
    session.run(Span::new(900));
    let meanwhile = session.dialed_nodes();
    let dialed = session.run_until_dial();

    assert_eq!(meanwhile, [1]);
    assert_eq!(dialed, 1);
}

#[test]
fn unreachable_candidates_are_skipped_quickly() {
    let seeds = [1, 2, 3, 4];
    let mut session = without_platform(9, &seeds);

    for _ in seeds {
        session.run_until_dial();
        session.close_parent_link();
    }
    session.clear();
    session.run(Span::seconds(1));

    // All four were dialed, and the node goes on to dial them again.
    assert!(!session.dialed_nodes().is_empty());
}

#[test]
fn a_loop_in_the_path_closes_the_link_and_clears_the_path() {
    let mut session = descendant_of(&[1, 2]);
    session.deliver_join_request(1, hello(10, 0));

    session.deliver_down(Down::Path(Box::new(path_of(&[9, 10, 2]))));

    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_new_root_accepts_its_former_parent_as_a_child() {
    let mut session = descendant_of(&[1]);
    session.store.unavailable = false;
    session.close_parent_link();
    session.run(Span::seconds(3));

    session.deliver_join_request(1, hello(1, 0));

    assert_eq!(session.dump().leases[&Scope::Fleet], "held");
    assert_eq!(session.last_join_reply(), Some(Ok(())));
}

#[test]
fn of_two_nodes_that_dial_each_other_one_is_accepted() {
    let mut first = without_platform(1, &[2]);
    let mut second = without_platform(2, &[1]);

    first.run_until_dial();
    second.run_until_dial();
    first.deliver_join_request(1, hello(2, 0));
    second.deliver_join_request(1, hello(1, 0));

    let replies = [first.last_join_reply(), second.last_join_reply()];
    assert_eq!(
        replies
            .iter()
            .filter(|reply| **reply == Some(Ok(())))
            .count(),
        1
    );
}

#[test]
fn the_node_with_the_newer_version_becomes_the_parent() {
    let mut session = without_platform(1, &[5]);
    session.run_until_dial();
    session.close_parent_link();

    session.deliver_join_request(1, hello(2, 4));
    let dialed = session.run_until_dial();

    assert!(matches!(
        session.last_join_reply(),
        Some(Err(Refusal::Busy(_)))
    ));
    assert_eq!(dialed, 2);
}

#[test]
fn concurrent_whole_snapshots_are_limited() {
    let mut settings = seeded(9, &[1]);
    settings.budget.whole_syncs = cicadagw_unit::size::Slots::new(2);
    let mut session = Session::new(&settings, Store::default());
    session.store.unavailable = true;
    session.run_until_dial();
    session.accept_dial(&[1]);
    session.deliver_down(Down::Snapshot(Box::new(snapshot(2))));
    session.clear();

    session.deliver_join_request(1, hello(11, 0));
    // This report was sent before the snapshot arrived.
    session.deliver_up(1, Up::Report(Box::new(report(0, 1, 0))));
    session.deliver_join_request(3, hello(12, 0));
    session.deliver_up(3, Up::Report(Box::new(report(0, 1, 0))));
    session.deliver_join_request(5, hello(13, 0));
    session.deliver_join_request(7, hello(14, 1));
    session.deliver_join_request(9, hello(15, 2));
    session.deliver_up(1, Up::Report(Box::new(report(2, 1, 0))));
    session.deliver_join_request(11, hello(13, 0));

    insta::assert_snapshot!(session.transcript());
}

#[test]
fn many_orphans_make_few_platform_calls() {
    let nodes = 163;
    let mut store = Store::holding(1);
    store.assign_lease(Scope::Domain, 500);
    let mut sessions: Vec<Session> = (1..=nodes)
        .map(|number| Session::seeded(&settings(number), u64::from(number), Store::default()))
        .collect();

    // The nodes do not find each other: only the platform responds.
    for _ in 0..120 {
        for session in &mut sessions {
            std::mem::swap(&mut session.store, &mut store);
            session.run(Span::new(100));
            std::mem::swap(&mut session.store, &mut store);
        }
    }

    let leases = sessions.iter().map(|session| session.dump().leases);
    let roots = leases
        .filter(|leases| leases[&Scope::Fleet] == "held")
        .count();
    let calls: usize = sessions.iter().map(|session| session.calls).sum();
    assert_eq!(roots, 1);
    // Each orphan reads the lease of its failure domain six times in 12 s, and the single root
    // makes a few dozen requests.
    assert!(
        calls <= usize::from(nodes) * 6 + 60,
        "{calls} platform calls"
    );
}

#[test]
fn a_partitioned_failure_domain_serves_a_returning_node() {
    let mut session = without_platform(9, &[1, 2]);

    let dialed = session.run_until_dial();
    session.accept_dial(&[4, dialed]);
    session.deliver_down(Down::Digests(
        [("kochi-a".parse().unwrap(), cicadagw_unit::Digest::default())].into(),
    ));
    session.deliver_down(Down::Endpoints(vec![record(
        1,
        "e1",
        3,
        cicadagw_endpoint::State::Ready,
    )]));
    session.deliver_down(Down::Snapshot(Box::new(snapshot(5))));
    session.run(Span::seconds(1));

    assert_eq!(session.held(), snapshot(5).stamp);
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_node_that_becomes_region_root_clears_its_path() {
    let mut session = Session::new(&settings(1), Store::holding(1));
    session.store.assign_lease(Scope::Region, 5);
    session.run_until_dial();
    session.accept_dial(&[6, 5]);

    // The holder is alive, but no longer renews its lease.
    session.run_with_heartbeats(Span::seconds(12));
    session.deliver_join_request(1, hello(5, 0));

    assert_eq!(session.dump().leases[&Scope::Region], "held");
    assert_eq!(session.last_join_reply(), Some(Ok(())));
}

#[test]
fn a_node_whose_root_fails_stays_in_its_failure_domain_and_claims_the_lease() {
    let mut session = descendant_of(&[1]);
    session.store.unavailable = false;
    session.store.assign_lease(Scope::Domain, 1);
    // The region root, in another failure domain, is the parent of the root that fails.
    session.deliver_down(Down::Path(Box::new(path_of(&[6, 1]))));

    session.close_parent_link();
    session.run(Span::seconds(12));

    assert!(
        !session.dialed_nodes().contains(&6),
        "{:?}",
        session.dialed_nodes()
    );
    assert_eq!(session.dump().leases[&Scope::Domain], "held");
}

#[test]
fn a_full_root_refers_joining_nodes_to_its_children() {
    let mut session = Session::new(&settings(1), Store::holding(2));
    session.run(Span::seconds(4));
    session.clear();

    for number in 2..=163 {
        session.deliver_join_request(u64::from(number) * 2 + 1, hello(number, 0));
    }

    let children: Vec<_> = (2..=9).map(member).collect();
    let replies = session.commands().filter_map(|command| match command {
        Command::Accept { .. } => Some(None),
        Command::Refuse { refusal, .. } => Some(Some(refusal.clone())),
        _ => None,
    });
    let (accepted, refused): (Vec<_>, Vec<_>) = replies.partition(Option::is_none);
    let full = Some(Refusal::Full(children));
    assert_eq!(accepted.len(), 8);
    assert_eq!(refused.len(), 154);
    assert!(refused.into_iter().all(|refusal| refusal == full));
    assert_eq!(session.calls, 0);
}

#[test]
fn a_reconnecting_child_replaces_its_previous_link() {
    let mut session = descendant_of(&[1]);
    session.deliver_join_request(1, hello(10, 0));
    session.clear();

    session.deliver_join_request(3, hello(10, 0));

    let closed = session
        .commands()
        .any(|command| matches!(command, Command::Close { session } if session.0 == 1));
    assert!(closed);
    assert_eq!(session.dump().children, [member(10)]);
}

#[test]
fn messages_of_a_closed_link_are_ignored() {
    let mut session = descendant_of(&[1]);
    session.close_parent_link();

    session.deliver_down(Down::Snapshot(Box::new(snapshot(3))));
    session.deliver_join_request(1, hello(10, 0));
    session.close_child_link(1);
    session.deliver_up(
        1,
        Up::Endpoints(vec![record(10, "e10", 1, cicadagw_endpoint::State::Ready)]),
    );

    let endpoints = session.dump().endpoints;
    assert_eq!(session.held(), cicadagw_config::Stamp::default());
    assert_eq!(endpoints.get(&"e10".parse().unwrap()), None);
}
