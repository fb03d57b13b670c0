//! A fleet whose platform's store is restored from a copy some seconds old, and gives out anew the
//! revisions that nodes have seen.

mod support;

use cicadagw_endpoint::{LocalUpdate, State};
use cicadagw_gossip::Event;
use cicadagw_rollout::State as RolloutState;
use cicadagw_unit::time::Span;
use support::{
    Behaviour, Copy, DURATION, Fleet, Load, TAKEOVER_MAX, has_ended, local, ordered, state,
};

/// Time within which an accepted change must be in force on every node.
const IN_FORCE_MAX: Span = Span::seconds(3);

/// Time after which the only open watches are those of the watchers.
const SETTLING_TIME: Span = Span::new(12_500);

/// How old the copy is when the store is restored from it.
const COPY_AGE: Span = Span::seconds(4);

/// Time in which a node that has noticed a restore writes its record.
const REWRITTEN_MAX: Span = Span::new(2_200);

/// Time in which every node, also one that watches nothing, calls the platform and then writes its
/// record.
const LISTED_MAX: Span = Span::seconds(35);

/// Creates nodes that hold version 3, and a copy of the store in which version 1 is in force.
fn fleet_ahead_of_copy(mut fleet: Fleet, publish: fn(&mut Fleet, u64)) -> (Fleet, Copy) {
    publish(&mut fleet, 1);
    fleet.run(SETTLING_TIME);
    let copy = fleet.platform.copy();
    publish(&mut fleet, 2);
    publish(&mut fleet, 3);
    fleet.run(COPY_AGE);
    assert_eq!(fleet.versions(), vec![3; fleet.nodes.len()]);
    (fleet, copy)
}

/// Restores the store; version 3 is written again, and version 4 gets the revision that version 3 had.
fn restore(fleet: &mut Fleet, copy: Copy, publish: fn(&mut Fleet, u64)) {
    fleet.platform.restore(copy);
    publish(fleet, 3);
    publish(fleet, 4);
}

/// Guards against a watch that goes on from a revision of before the restore.
#[test]
fn a_change_that_gets_a_revision_of_before_the_restore_is_in_force_in_time() {
    let (mut fleet, copy) = fleet_ahead_of_copy(Fleet::new(12), Fleet::publish_configuration);

    restore(&mut fleet, copy, Fleet::publish_configuration);
    fleet.run(IN_FORCE_MAX);

    assert_eq!(fleet.versions(), vec![4; 12]);
}

/// Guards against a node that notices a restore only when another call than its watch and its checks
/// names the era.
#[test]
fn the_failure_of_a_check_alone_tells_of_a_restore() {
    let (mut fleet, copy) = fleet_ahead_of_copy(Fleet::new(12), Fleet::publish_configuration);
    fleet.announces_restores = false;

    restore(&mut fleet, copy, Fleet::publish_configuration);
    fleet.run(IN_FORCE_MAX);

    assert_eq!(fleet.versions(), vec![4; 12]);
}

/// Guards against a version that goes back to that of the copy.
#[test]
fn no_node_goes_back_to_the_version_of_the_copy() {
    let (mut fleet, copy) = fleet_ahead_of_copy(Fleet::new(12), Fleet::publish_configuration);

    fleet.platform.restore(copy);
    fleet.run(IN_FORCE_MAX);

    assert_eq!(fleet.versions(), vec![3; 12]);
}

/// Guards against an order that is ignored because the one before the restore has a greater revision.
#[test]
fn an_order_of_a_rollout_that_is_written_again_after_a_restore_is_followed() {
    for announces_restores in [true, false] {
        let mut fleet = Fleet::with_rollouts(16);
        fleet.announces_restores = announces_restores;
        let mut load = Load::new(&fleet, 400);
        let copy = fleet.platform.copy();
        fleet.order("v2", DURATION);
        load.run(&mut fleet, COPY_AGE, |_| false);
        for index in 8..16 {
            fleet.start_backend(index, "v2");
        }

        let last = fleet.platform.revision;
        fleet.platform.restore(copy);
        fleet.order("v2", DURATION);
        // Other writes have the revisions of before the restore.
        fleet.platform.revision = fleet.platform.revision.max(last);
        load.run(&mut fleet, DURATION.plus(TAKEOVER_MAX), has_ended);

        assert_eq!(
            state(&fleet),
            Some(RolloutState::Done),
            "{announces_restores}"
        );
    }
}

/// Guards against a leader that is refused for good because it names a revision of before the restore.
#[test]
fn a_rollout_goes_on_after_the_store_has_lost_its_last_statuses() {
    let (mut fleet, mut load) = ordered(Behaviour::Good);
    load.run(&mut fleet, Span::seconds(2), has_ended);
    let copy = fleet.platform.copy();
    load.run(&mut fleet, COPY_AGE, has_ended);

    let last = fleet.platform.revision;
    fleet.platform.restore(copy);
    fleet.platform.revision = last;
    load.run(&mut fleet, DURATION.plus(TAKEOVER_MAX), has_ended);

    assert_eq!(state(&fleet), Some(RolloutState::Done));
}

/// Guards against a bad release that gets calls again because the store has lost the roll-back.
#[test]
fn a_release_that_was_rolled_back_stays_so_although_the_store_has_lost_that() {
    let (mut fleet, mut load) = ordered(Behaviour::BadAfter(Span::seconds(4)));
    load.run(&mut fleet, Span::seconds(3), has_ended);
    let copy = fleet.platform.copy();
    load.run(&mut fleet, COPY_AGE, has_ended);
    assert_eq!(state(&fleet), Some(RolloutState::RolledBack));
    let exposed = load.exposed("v2");

    fleet.platform.restore(copy);
    load.run(&mut fleet, DURATION, |_| false);

    assert_eq!(state(&fleet), Some(RolloutState::RolledBack));
    assert_eq!(load.exposed("v2"), exposed);
}

/// Guards against a node that the platform does not list any more, so that nodes that start later
/// do not find it.
#[test]
fn nodes_whose_records_the_store_has_lost_write_them_again() {
    let mut fleet = Fleet::new(12);
    fleet.publish_configuration(1);
    let copy = fleet.platform.copy();
    fleet.run(SETTLING_TIME);
    assert_eq!(fleet.platform.members.len(), 12);

    fleet.platform.restore(copy);
    fleet.run(LISTED_MAX);

    assert_eq!(fleet.platform.members.len(), 12);
}

/// Guards against an acknowledged departure that is forgotten because the store has lost it.
#[test]
fn a_departure_that_the_store_has_lost_is_written_again() {
    let mut fleet = Fleet::new(12);
    fleet.publish_configuration(1);
    fleet.run(SETTLING_TIME);
    let endpoint = "i-leaving".parse().unwrap();
    let is_stored = |fleet: &Fleet| fleet.nodes[0].stored.contains(&endpoint, 0);
    fleet.step(0, Event::Local(local("i-leaving", State::Ready)));
    fleet.run(COPY_AGE);
    let copy = fleet.platform.copy();
    let left = LocalUpdate {
        has_left: true,
        ..local("i-leaving", State::Gone)
    };
    fleet.step(0, Event::Local(left));
    fleet.run(COPY_AGE);
    let before = is_stored(&fleet);

    fleet.platform.restore(copy);
    fleet.run(Span::new(1_200));
    let noticed = is_stored(&fleet);
    fleet.run(REWRITTEN_MAX);

    assert_eq!((before, noticed, is_stored(&fleet)), (true, false, true));
    let departures = &fleet.platform.members["node-0000"].departures;
    assert!(departures.contains(&endpoint, 0));
}
