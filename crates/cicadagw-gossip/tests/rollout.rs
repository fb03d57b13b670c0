//! Rollouts in a fleet: who leads, what the nodes choose by, and failures of both.

mod support;

use cicadagw_gossip::Event;
use cicadagw_rollout::{Phase, Report, Schedule, State, Tally};
use cicadagw_unit::time::Span;
use support::{Behaviour, DURATION, Fleet, Load, TAKEOVER_MAX, has_ended, ordered, state};

#[test]
fn a_good_release_gets_all_calls_in_time_and_the_others_none_when_it_is_done() {
    let (mut fleet, mut load) = ordered(Behaviour::Good);

    load.run(&mut fleet, Span::new(11_500), has_ended);
    let at_done = load.last.clone();
    load.run(&mut fleet, Span::seconds(2), |_| false);

    assert_eq!(state(&fleet), Some(State::Done));
    assert_eq!(at_done.get("v1"), None, "{at_done:?}");
    assert_eq!(load.last.get("v1"), None);
    // One write for each step and each second.
    assert!(
        fleet.platform.rollout_writes < 40,
        "{}",
        fleet.platform.rollout_writes
    );
}

#[test]
fn a_release_that_is_bad_at_once_or_later_is_left_within_the_allowance() {
    for after in [Span::new(0), Span::seconds(4), Span::seconds(7)] {
        let (mut fleet, mut load) = ordered(Behaviour::BadAfter(after));

        load.run(&mut fleet, DURATION, |_| false);

        assert_eq!(state(&fleet), Some(State::RolledBack), "bad after {after}");
        assert_eq!(load.last.get("v2"), None, "bad after {after}");
        let exposed = load.exposed("v2");
        assert!(exposed <= load.allowance(), "bad after {after}: {exposed}");
    }
}

#[test]
fn a_rollout_ends_although_the_responses_to_writes_are_lost() {
    let (mut fleet, mut load) = ordered(Behaviour::Good);
    fleet.platform.loses_responses = true;
    load.run(&mut fleet, Span::seconds(10), has_ended);
    fleet.platform.loses_responses = false;

    load.run(&mut fleet, TAKEOVER_MAX, has_ended);

    assert_eq!(state(&fleet), Some(State::Done));
}

#[test]
fn a_bad_release_is_left_at_once_while_the_platform_is_unavailable() {
    let (mut fleet, mut load) = ordered(Behaviour::BadAfter(Span::seconds(4)));
    load.run(&mut fleet, Span::seconds(3), has_ended);

    fleet.platform.unavailable_to = (0..16).collect();
    load.run(&mut fleet, Span::seconds(4), |_| false);
    let during = load.last.clone();
    fleet.platform.unavailable_to.clear();
    load.run(&mut fleet, Span::seconds(6), has_ended);

    assert_eq!(during.get("v2"), None, "{during:?}");
    assert_eq!(state(&fleet), Some(State::RolledBack));
}

#[test]
fn a_bad_release_is_left_at_once_while_the_platform_does_not_respond() {
    let (mut fleet, mut load) = ordered(Behaviour::BadAfter(Span::seconds(4)));
    load.run(&mut fleet, Span::new(3_400), has_ended);

    fleet.platform.silent_to = (0..16).collect();
    load.run(&mut fleet, Span::new(1_700), |_| false);
    let during = load.last.clone();
    fleet.platform.silent_to.clear();
    load.run(&mut fleet, Span::seconds(6), has_ended);
    let exposed = load.exposed("v2");
    load.run(&mut fleet, Span::seconds(2), |_| false);

    assert_eq!(during.get("v2"), None, "{during:?}");
    assert_eq!(state(&fleet), Some(State::RolledBack));
    assert_eq!(load.exposed("v2"), exposed);
}

#[test]
fn a_bad_release_is_left_within_the_allowance_although_a_fifth_of_the_messages_is_lost() {
    let (mut fleet, mut load) = ordered(Behaviour::BadAfter(Span::seconds(5)));
    fleet.loss_permille = 200;

    load.run(&mut fleet, DURATION, |_| false);

    assert_eq!(state(&fleet), Some(State::RolledBack));
    assert!(load.exposed("v2") <= load.allowance());
}

#[test]
fn after_an_order_is_withdrawn_all_backend_servers_get_calls() {
    let (mut fleet, mut load) = ordered(Behaviour::Good);
    load.run(&mut fleet, Span::seconds(5), has_ended);

    fleet.withdraw();
    load.run(&mut fleet, Span::seconds(2), |_| false);

    assert_eq!(load.last.len(), 2, "{:?}", load.last);
    let new = load.last["v2"];
    assert!(new > 4, "{new} of 20 calls");
}

#[test]
fn a_withdrawal_is_noticed_although_the_history_of_the_platform_is_gone() {
    let (mut fleet, mut load) = ordered(Behaviour::Good);
    load.run(&mut fleet, Span::seconds(5), has_ended);

    fleet.platform.has_compacted = true;
    fleet.withdraw();
    load.run(&mut fleet, Span::seconds(2), |_| false);

    let is_withdrawn = |node: &support::Node| {
        let mut rollouts = node.view.rollouts.values();
        rollouts.all(|rollout| rollout.status.is_none())
    };
    assert!(fleet.nodes.iter().all(is_withdrawn));
}

#[test]
fn a_newer_order_replaces_the_one_before_whose_target_gets_no_more_calls() {
    let (mut fleet, mut load) = ordered(Behaviour::Good);
    load.run(&mut fleet, Span::seconds(5), has_ended);

    fleet.order("v3", DURATION);
    for index in 14..16 {
        fleet.start_backend(index, "v3");
    }
    load.run(&mut fleet, Span::seconds(1), |_| false);
    let before = load.exposed("v2");
    load.run(&mut fleet, DURATION, has_ended);

    assert_eq!(load.exposed("v2"), before);
    let status = fleet.rollout_status().unwrap();
    assert_eq!((status.phase, status.target.as_str()), (Phase::Done, "v3"));
}

#[test]
fn a_target_without_backend_servers_is_rolled_back_when_the_time_is_over() {
    let mut fleet = Fleet::with_rollouts(8);
    let mut load = Load::new(&fleet, 100);
    fleet.order("v9", DURATION);

    load.run(&mut fleet, Span::new(11_500), |_| false);
    let before = state(&fleet);
    load.run(&mut fleet, Span::seconds(2), |_| false);

    assert_eq!(
        (before, state(&fleet)),
        (Some(State::Running), Some(State::RolledBack))
    );
}

#[test]
fn without_rollouts_the_platform_gets_no_request_about_them() {
    let mut fleet = Fleet::new(8);
    fleet.publish_configuration(1);
    fleet.run(Span::seconds(3));
    let order = |fleet: &Fleet| fleet.nodes.iter().all(|node| node.view.rollouts.is_empty());

    fleet.order("v2", DURATION);
    fleet.step(0, Event::Tick);
    fleet.run(Span::seconds(3));

    assert!(order(&fleet));
    assert_eq!(fleet.platform.rollout_writes, 0);
}

#[test]
fn the_share_grows_by_one_step_after_the_platform_was_unavailable() {
    let (mut fleet, mut load) = ordered(Behaviour::Good);
    let share = |fleet: &Fleet| fleet.rollout_status().unwrap().share;
    let raises = |fleet: &Fleet| fleet.rollout_status().unwrap().phase == Phase::Raising;
    load.run(&mut fleet, DURATION, raises);
    let before = share(&fleet);

    fleet.platform.unavailable_to = (0..16).collect();
    load.run(&mut fleet, Span::seconds(3), |_| false);
    fleet.platform.unavailable_to.clear();
    load.run(&mut fleet, TAKEOVER_MAX, |fleet| share(fleet) != before);

    assert_eq!(share(&fleet), Schedule::next_share(before));
}

#[test]
fn a_stop_stays_in_force_although_the_responses_to_the_writes_before_it_are_lost() {
    let (mut fleet, mut load) = ordered(Behaviour::BadAfter(Span::seconds(3)));
    let is_stopped = |fleet: &Fleet| {
        let mut rollouts = fleet
            .nodes
            .iter()
            .flat_map(|node| node.view.rollouts.values());
        rollouts.any(|rollout| !rollout.is_running())
    };
    load.run(&mut fleet, Span::seconds(2), has_ended);
    fleet.platform.loses_responses = true;
    fleet.platform.holds_rollout_watches = true;
    load.run(&mut fleet, DURATION, is_stopped);

    load.run(&mut fleet, Span::new(200), |_| false);
    let exposed = load.exposed("v2");
    load.run(&mut fleet, Span::seconds(3), |_| false);

    assert_eq!(load.exposed("v2"), exposed);
}

#[test]
fn a_write_that_the_platform_refuses_is_not_repeated_without_a_wait() {
    let (mut fleet, mut load) = ordered(Behaviour::Good);
    load.run(&mut fleet, Span::seconds(2), has_ended);
    let before = fleet.platform.rollout_writes;

    fleet.platform.refuses_status = true;
    load.run(&mut fleet, Span::seconds(6), has_ended);

    // Six nodes watch; each may write twice in this time, and the leader once more.
    let writes = fleet.platform.rollout_writes - before;
    assert!(writes <= 13, "{writes} writes");
}

#[test]
fn a_report_about_an_endpoint_that_no_node_has_does_not_count() {
    let (mut fleet, mut load) = ordered(Behaviour::Good);
    load.run(&mut fleet, Span::seconds(2), has_ended);
    let started_ms = fleet.rollout_status().unwrap().started_ms;
    let tally = Tally::from((100, 100, 100, 0, 0));
    let report = |endpoint: &str| Report {
        endpoint: endpoint.parse().unwrap(),
        in_flight: 0,
        policies: std::iter::once(("read".parse().unwrap(), tally)).collect(),
        refuses: false,
        release: Some("v2".parse().unwrap()),
        service: "orders".parse().unwrap(),
        started_ms,
        total: tally,
    };

    let leader = fleet.leader().unwrap();
    for endpoint in ["i-98", "i-99"] {
        fleet.step(leader, Event::Report(Box::new(report(endpoint))));
    }
    load.run(&mut fleet, Span::seconds(2), has_ended);

    assert_eq!(state(&fleet), Some(State::Running));
}
