//! Tests of a fleet whose links to the platform and between nodes fall silent, are refused or
//! deliver nothing: a change must nevertheless be in force everywhere in time.

mod support;

use cicadagw_unit::time::Span;
use support::Fleet;

/// Time within which an accepted change must be in force on every node.
const IN_FORCE_MAX: Span = Span::seconds(3);

/// The nodes that watch the platform in a fleet of 12, three in each of two regions.
const WATCHERS: [usize; 6] = [0, 1, 2, 3, 4, 5];

/// Time after which the only open watches are those of the watchers.
const SETTLING_TIME: Span = Span::new(12_500);

/// Size of a fleet in which a watcher sends beacons less often than a change must be in force.
const LARGE_FLEET: usize = 295;

/// Creates `count` nodes that hold version 1, of which three in each region have been watching the
/// platform for a while.
fn watching_fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new(count);
    fleet.publish_configuration(1);
    fleet.run(SETTLING_TIME);
    fleet
}

#[test]
fn a_change_is_in_force_in_time_although_no_watch_delivers_it() {
    let mut fleet = watching_fleet(12);
    fleet.platform.is_deaf = true;

    fleet.publish_configuration(2);
    fleet.run(IN_FORCE_MAX);

    assert_eq!(fleet.versions(), vec![2; 12]);
}

#[test]
fn a_change_is_in_force_in_time_although_no_watch_delivers_it_and_the_history_is_gone() {
    let mut fleet = watching_fleet(12);
    fleet.platform.is_deaf = true;
    fleet.platform.checks_find_no_history = true;

    fleet.publish_configuration(2);
    fleet.run(IN_FORCE_MAX);

    assert_eq!(fleet.versions(), vec![2; 12]);
}

#[test]
fn a_change_is_in_force_in_time_although_the_platform_is_silent_to_all_watchers() {
    let mut fleet = watching_fleet(12);
    fleet.platform.silent_to = WATCHERS.into();

    fleet.publish_configuration(2);
    fleet.run(IN_FORCE_MAX);

    assert_eq!(fleet.versions(), vec![2; 12]);
}

#[test]
fn a_change_is_in_force_in_time_although_the_platform_refuses_all_watchers_of_a_large_fleet() {
    let mut fleet = watching_fleet(LARGE_FLEET);
    fleet.platform.unavailable_to = WATCHERS.into();

    fleet.publish_configuration(2);
    fleet.run(IN_FORCE_MAX);

    assert_eq!(fleet.versions(), vec![2; LARGE_FLEET]);
}

#[test]
fn a_change_reaches_a_node_that_receives_no_message_of_other_nodes() {
    let mut fleet = watching_fleet(LARGE_FLEET);
    fleet.isolated = [100].into();
    fleet.run(Span::seconds(1));

    fleet.publish_configuration(2);
    fleet.run(IN_FORCE_MAX);

    assert_eq!(fleet.versions(), vec![2; LARGE_FLEET]);
}

#[test]
fn a_change_is_in_force_in_time_although_fetches_from_all_but_one_watcher_time_out() {
    let mut fleet = watching_fleet(24);
    fleet.silent_to_fetches = WATCHERS[1..].iter().copied().collect();

    fleet.publish_configuration(2);
    fleet.run(IN_FORCE_MAX);

    assert_eq!(fleet.versions(), vec![2; 24]);
}
