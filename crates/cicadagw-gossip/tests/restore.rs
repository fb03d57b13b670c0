//! A fleet whose platform's store is restored from a copy some seconds old, and gives out anew the
//! revisions that nodes have seen.

mod support;

use cicadagw_unit::time::Span;
use support::{Copy, Fleet};

/// Time within which an accepted change must be in force on every node.
const IN_FORCE_MAX: Span = Span::seconds(3);

/// Time after which the only open watches are those of the watchers.
const SETTLING_TIME: Span = Span::new(12_500);

/// How old the copy is when the store is restored from it.
const COPY_AGE: Span = Span::seconds(4);

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
