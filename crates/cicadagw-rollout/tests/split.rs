//! The split of a service's calls between its releases.

mod support;

use std::sync::Arc;

use cicadagw_endpoint::Record;
use cicadagw_rollout::{Directive, Draw, Phase, Split, Status};
use cicadagw_unit::Term;
use cicadagw_unit::rate::Permille;
use cicadagw_unit::time::Span;
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::{UNIX_MS, order, record};

fn directive(phase: Phase, share: u16) -> Directive {
    let status = Status {
        phase,
        share: Permille::new(share),
        since_ms: UNIX_MS + 1_000,
        ..Status::noticed(&order(Span::seconds(12)), None)
    };
    Directive {
        service: "orders".parse().unwrap(),
        status: Some(status),
        stopped: false,
        term: Term::from(cicadagw_unit::Revision::new(5)),
    }
}

fn records() -> Vec<Record> {
    let old = (0..9).map(|index| record(&format!("old-{index}"), "v1"));
    let new = (0..9).map(|index| record(&format!("new-{index}"), "v2"));
    old.chain(new).collect()
}

/// Returns how many of a thousand attempts may go to each record.
fn draws(directive: Option<Directive>, records: &[Record], is_retry: bool) -> Vec<usize> {
    let split = Split::new(directive.map(Arc::new), records.iter());
    let mut rng = StdRng::seed_from_u64(7);
    let mut counts = vec![0; records.len()];
    for _ in 0..1_000 {
        let draw: Draw = split.draw(&mut rng, is_retry);
        for (count, record) in counts.iter_mut().zip(records) {
            *count += usize::from(split.admits(draw, record));
        }
    }
    counts
}

#[test]
fn without_a_rollout_all_backend_servers_get_calls() {
    let withdrawn = Directive {
        status: None,
        ..directive(Phase::Raising, 100)
    };

    for directive in [None, Some(withdrawn)] {
        assert_eq!(draws(directive, &records(), false), vec![1_000; 18]);
    }
}

#[test]
fn a_target_that_is_not_tested_yet_gets_no_calls() {
    let counts = draws(Some(directive(Phase::Waiting, 0)), &records(), false);

    assert_eq!(counts, [vec![1_000; 9], vec![0; 9]].concat());
}

#[test]
fn the_target_gets_its_share_mostly_at_two_backend_servers_and_sometimes_at_all() {
    let counts = draws(Some(directive(Phase::Observing, 100)), &records(), false);

    let (old, new) = counts.split_at(9);
    assert!(
        old.iter().all(|count| (860..940).contains(count)),
        "{old:?}"
    );
    let tested = new.iter().filter(|count| **count > 60).count();
    assert_eq!(tested, 2, "{new:?}");
    assert!(new.iter().all(|count| *count > 2), "{new:?}");
}

#[test]
fn an_attempt_that_follows_a_failure_goes_to_the_other_releases_while_they_get_calls() {
    let observed = draws(Some(directive(Phase::Observing, 100)), &records(), true);
    let whole = draws(Some(directive(Phase::Closing, 1_000)), &records(), true);

    assert_eq!(observed, [vec![1_000; 9], vec![0; 9]].concat());
    assert_eq!(whole, [vec![0; 9], vec![1_000; 9]].concat());
}

#[test]
fn a_done_rollout_excludes_the_others_of_its_time_and_no_later_ones() {
    let mut records = records();
    records.push(Record {
        started_ms: UNIX_MS + 2_000,
        ..record("newer-0", "v3")
    });

    let counts = draws(Some(directive(Phase::Done, 1_000)), &records, false);

    assert_eq!(counts, [vec![0; 9], vec![1_000; 10]].concat());
}

#[test]
fn a_stop_of_the_leader_excludes_the_target_at_once() {
    let stopped = Directive {
        stopped: true,
        ..directive(Phase::Raising, 640)
    };

    let counts = draws(Some(stopped.clone()), &records(), false);

    assert_eq!(counts, [vec![1_000; 9], vec![0; 9]].concat());
    assert!(stopped.precedence() > directive(Phase::Raising, 640).precedence());
}

#[test]
fn a_rolled_back_release_still_serves_if_there_is_no_other() {
    let only: Vec<Record> = records().split_off(9);

    let counts = draws(Some(directive(Phase::RolledBack, 0)), &only, false);

    assert_eq!(counts, vec![1_000; 9]);
}

#[test]
fn a_target_that_an_order_replaces_before_it_was_proven_gets_no_calls() {
    let earlier = directive(Phase::Observing, 100).status.unwrap();
    let newer = cicadagw_rollout::Order {
        target: "v3".parse().unwrap(),
        ..order(Span::seconds(12))
    };
    let noticed = Directive {
        status: Some(Status::noticed(&newer, Some(&earlier))),
        ..directive(Phase::Waiting, 0)
    };

    let counts = draws(Some(noticed), &records(), false);

    assert_eq!(counts, [vec![1_000; 9], vec![0; 9]].concat());
}

#[test]
fn the_node_beside_a_backend_server_refuses_calls_once_the_last_ones_are_moved_away() {
    let refusals = |directive: &Directive| {
        let release = |name: &str| Some(name.parse().unwrap());
        let refuses = |name| directive.refuses(release(name).as_ref(), UNIX_MS);
        (refuses("v1"), refuses("v2"))
    };

    assert_eq!(refusals(&directive(Phase::Raising, 1_000)), (false, false));
    assert_eq!(refusals(&directive(Phase::Closing, 1_000)), (true, false));
    assert_eq!(refusals(&directive(Phase::Done, 1_000)), (true, false));
    assert_eq!(refusals(&directive(Phase::RolledBack, 0)), (false, true));
}
