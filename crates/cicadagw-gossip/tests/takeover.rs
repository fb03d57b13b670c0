//! Leaders of rollouts that are cut off, frozen, restarted or replaced.

mod support;

use cicadagw_rollout::{Phase, State};
use cicadagw_unit::time::Span;
use support::{Behaviour, DURATION, Fleet, Load, TAKEOVER_MAX, has_ended, ordered, state};

#[test]
fn another_node_leads_on_when_the_leader_is_cut_off_in_any_phase() {
    for (at, behaviour, expected) in [
        (1, Behaviour::Good, State::Done),
        (5, Behaviour::Good, State::Done),
        (9, Behaviour::Good, State::Done),
        (1, Behaviour::BadAfter(Span::seconds(3)), State::RolledBack),
        (3, Behaviour::BadAfter(Span::seconds(3)), State::RolledBack),
        (5, Behaviour::BadAfter(Span::seconds(5)), State::RolledBack),
    ] {
        let (mut fleet, mut load) = ordered(behaviour);
        load.run(&mut fleet, Span::seconds(at), has_ended);
        let leader = fleet.leader().unwrap();

        fleet.isolated.insert(leader);
        fleet.platform.unavailable_to.insert(leader);
        load.run(&mut fleet, DURATION.plus(TAKEOVER_MAX), has_ended);
        load.run(&mut fleet, Span::seconds(1), |_| false);

        assert_eq!(
            state(&fleet),
            Some(expected),
            "cut off after {at} s, {behaviour:?}"
        );
        if expected == State::RolledBack {
            let exposed = load.exposed("v2");
            assert!(
                exposed <= load.allowance(),
                "cut off after {at} s: {exposed}"
            );
        }
    }
}

#[test]
fn a_leader_that_was_frozen_changes_nothing_when_it_goes_on() {
    let (mut fleet, mut load) = ordered(Behaviour::Good);
    load.run(&mut fleet, Span::seconds(5), has_ended);
    let frozen = fleet.leader().unwrap();
    fleet.frozen.insert(frozen);
    load.run(&mut fleet, DURATION.plus(TAKEOVER_MAX), has_ended);
    let before = fleet.rollout_status().cloned();

    fleet.frozen.clear();
    load.run(&mut fleet, Span::seconds(6), |_| false);

    assert_ne!(fleet.leader(), Some(frozen));
    assert_eq!(state(&fleet), Some(State::Done));
    assert_eq!(fleet.rollout_status(), before.as_ref());
    assert_eq!(load.last.get("v1"), None);
}

#[test]
fn a_rollout_goes_on_from_the_platform_after_all_nodes_have_restarted() {
    for (behaviour, expected) in [
        (Behaviour::Good, State::Done),
        (Behaviour::BadAfter(Span::seconds(3)), State::RolledBack),
    ] {
        let (mut fleet, mut load) = ordered(behaviour);
        load.run(&mut fleet, Span::new(2_500), has_ended);

        for index in 0..16 {
            fleet.restart_now(index);
        }
        fleet.run(Span::new(300));
        for index in 0..16 {
            fleet.start_backend(index, if index < 8 { "v1" } else { "v2" });
        }
        load.run(&mut fleet, DURATION.plus(TAKEOVER_MAX), has_ended);

        assert_eq!(state(&fleet), Some(expected), "{behaviour:?}");
    }
}

/// Returns a fleet like [`ordered`], whose first half, with the leader, has the backend servers of
/// release `v2`.
fn ordered_beside_target(behaviour: Behaviour) -> (Fleet, Load) {
    let mut fleet = Fleet::with_rollouts(16);
    let mut load = Load::new(&fleet, 400);
    load.behaviour.insert("v2".to_owned(), behaviour);
    for index in 8..16 {
        fleet.start_backend(index, "v1");
    }
    fleet.order("v2", DURATION);
    load.run(&mut fleet, Span::new(500), |_| false);
    for index in 0..8 {
        fleet.start_backend(index, "v2");
    }
    (fleet, load)
}

#[test]
fn a_leader_that_has_restarted_does_not_raise_a_bad_release_that_is_all_it_sees() {
    for at in [500, 1_000, 1_500, 2_000] {
        let (mut fleet, mut load) = ordered_beside_target(Behaviour::BadAfter(Span::seconds(3)));
        load.run(&mut fleet, Span::new(at), has_ended);
        let leader = fleet.leader().unwrap();

        fleet.restart_now(leader);
        fleet.start_backend(leader, "v2");
        load.run(&mut fleet, DURATION, |_| false);
        let exposed = load.exposed("v2");
        load.run(&mut fleet, TAKEOVER_MAX, has_ended);

        assert_eq!(state(&fleet), Some(State::RolledBack), "{at} ms");
        assert!(exposed <= load.allowance(), "{exposed} calls, {at} ms");
    }
}

#[test]
fn a_leader_that_restarts_while_the_rollout_closes_does_not_roll_it_back() {
    let (mut fleet, mut load) = ordered(Behaviour::Good);
    let closes = |fleet: &Fleet| {
        let status = fleet.rollout_status();
        status.is_some_and(|status| status.phase == Phase::Closing)
    };
    load.run(&mut fleet, DURATION, closes);
    let leader = fleet.leader().unwrap();

    fleet.restart_now(leader);
    fleet.start_backend(leader, "v1");
    load.run(&mut fleet, TAKEOVER_MAX, has_ended);

    assert_eq!(state(&fleet), Some(State::Done));
}

#[test]
fn the_end_of_a_rollout_is_where_it_was_after_all_nodes_have_restarted() {
    let mut fleet = Fleet::with_rollouts(8);
    let mut load = Load::new(&fleet, 100);
    fleet.order("v9", DURATION);
    load.run(&mut fleet, Span::seconds(3), |_| false);
    for index in 0..8 {
        fleet.restart_now(index);
    }

    load.run(&mut fleet, Span::new(8_500), |_| false);
    let before = state(&fleet);
    load.run(&mut fleet, Span::new(1_500), |_| false);

    assert_eq!(
        (before, state(&fleet)),
        (Some(State::Running), Some(State::RolledBack))
    );
}

#[test]
fn a_replaced_leader_that_the_platform_does_not_answer_ceases_to_lead() {
    let (mut fleet, mut load) = ordered(Behaviour::Good);
    load.run(&mut fleet, Span::seconds(2), has_ended);
    let leader = fleet.leader().unwrap();
    let led = |fleet: &Fleet| {
        let notices = fleet.nodes[leader].notices.iter();
        notices.filter(|notice| notice.contains("lead")).count()
    };
    let before = led(&fleet);

    fleet.platform.unavailable_to.insert(leader);
    load.run(&mut fleet, Span::seconds(5), has_ended);

    assert_ne!(fleet.leader(), Some(leader));
    assert_eq!(led(&fleet), before + 1, "{:?}", fleet.nodes[leader].notices);
}
