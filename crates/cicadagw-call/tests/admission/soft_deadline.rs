//! Calls with a soft deadline: their order, and which of them are shed.

use cicadagw_call::admission::{Constraints, Decision};
use cicadagw_unit::rate::Priority;
use cicadagw_unit::time::Span;

use crate::{
    QUEUE_MAX, SLOTS, admission, at, constraints, constraints_with_soft_deadline, full_admission,
    policy,
};

#[test]
fn a_call_that_can_meet_its_soft_deadline_starts_before_a_late_one() {
    let mut admission = full_admission();
    let (late, _) = admission.offer(
        at(0),
        at(900),
        constraints_with_soft_deadline("wide", 600, 30),
    );
    let (timely, _) = admission.offer(
        at(0),
        at(900),
        constraints_with_soft_deadline("wide", 600, 600),
    );

    let release = admission.abandon(at(40), &policy("wide"), Span::new(0));
    let next = admission.abandon(at(41), &policy("wide"), Span::new(0));

    assert_eq!(release.started.as_slice(), [timely]);
    assert_eq!(next.started.as_slice(), [late]);
}

#[test]
fn an_older_call_is_due_before_a_newer_one_with_an_earlier_soft_deadline() {
    let mut admission = full_admission();
    let (older, _) = admission.offer(
        at(0),
        at(5_000),
        constraints_with_soft_deadline("report", 1_500, 1_500),
    );
    admission.offer(
        at(330),
        at(5_000),
        constraints_with_soft_deadline("lookup", 600, 930),
    );

    let release = admission.abandon(at(331), &policy("wide"), Span::new(0));

    assert_eq!(release.started.as_slice(), [older]);
}

#[test]
fn of_two_calls_of_similar_age_the_one_with_less_slack_starts_first() {
    let mut admission = full_admission();
    admission.offer(
        at(0),
        at(5_000),
        constraints_with_soft_deadline("report", 1_500, 1_500),
    );
    let (lookup, _) = admission.offer(
        at(10),
        at(5_000),
        constraints_with_soft_deadline("lookup", 600, 610),
    );

    let release = admission.abandon(at(11), &policy("wide"), Span::new(0));

    assert_eq!(release.started.as_slice(), [lookup]);
}

#[test]
fn the_expected_wait_counts_only_the_work_of_the_calls_ahead() {
    let mut admission = admission();
    for (name, elapsed) in [("slow", 400), ("slow", 400), ("quick", 10), ("quick", 10)] {
        admission.offer(
            at(0),
            at(9_000),
            constraints_with_soft_deadline(name, 600, 600),
        );
        admission.finish(at(0), &policy(name), Span::new(elapsed));
    }
    for _ in 0..2 * SLOTS {
        admission.offer(
            at(0),
            at(9_000),
            constraints_with_soft_deadline("quick", 600, 600),
        );
    }
    let low_priority = Constraints {
        priority: Priority::new(2),
        ..constraints_with_soft_deadline("quick", 600, 600)
    };

    let (_, decision) = admission.offer(at(0), at(9_000), low_priority);

    assert!(matches!(decision, Decision::Queue { .. }), "{decision:?}");
}

#[test]
fn a_brief_call_starts_before_others_even_when_it_is_late() {
    let mut admission = full_admission();
    let (_, long) = admission.offer(
        at(0),
        at(900),
        constraints_with_soft_deadline("wide", 600, 600),
    );
    let (brief, _) = admission.offer(
        at(0),
        at(400),
        constraints_with_soft_deadline("brief", 120, 30),
    );

    let release = admission.abandon(at(40), &policy("wide"), Span::new(0));

    assert_eq!(long, Decision::Queue { displaced: None });
    assert_eq!(release.started.as_slice(), [brief]);
}

#[test]
fn an_overdue_call_is_shed_before_its_deadline() {
    let mut admission = full_admission();
    let (overdue, _) = admission.offer(
        at(0),
        at(430),
        constraints_with_soft_deadline("wide", 30, 30),
    );
    let (_, timely) = admission.offer(
        at(0),
        at(900),
        constraints_with_soft_deadline("wide", 600, 600),
    );

    let first = admission.abandon(at(229), &policy("wide"), Span::new(0));
    admission.offer(
        at(229),
        at(900),
        constraints_with_soft_deadline("wide", 600, 600),
    );
    admission.offer(
        at(229),
        at(900),
        constraints_with_soft_deadline("wide", 600, 600),
    );
    let second = admission.abandon(at(231), &policy("wide"), Span::new(0));

    assert_eq!(timely, Decision::Queue { displaced: None });
    assert!(first.shed.is_empty());
    assert_eq!(second.shed.as_slice(), [overdue]);
}

#[test]
fn a_call_past_its_soft_deadline_is_shed_behind_a_queue() {
    let mut admission = full_admission();
    admission.finish(at(100), &policy("wide"), Span::new(60));
    admission.offer(at(100), at(900), constraints());
    admission.offer(at(100), at(900), constraints());

    let (_, decision) = admission.offer(
        at(100),
        at(900),
        constraints_with_soft_deadline("wide", 600, 90),
    );

    assert_eq!(decision, Decision::Shed);
}

#[test]
fn a_full_queue_sheds_a_late_call_first() {
    let mut admission = full_admission();
    let (late, _) = admission.offer(
        at(0),
        at(900),
        constraints_with_soft_deadline("wide", 600, 30),
    );
    for _ in 1..QUEUE_MAX {
        admission.offer(
            at(0),
            at(900),
            constraints_with_soft_deadline("wide", 600, 500),
        );
    }

    let (_, decision) = admission.offer(
        at(40),
        at(900),
        constraints_with_soft_deadline("wide", 600, 600),
    );

    assert_eq!(
        decision,
        Decision::Queue {
            displaced: Some(late)
        }
    );
}
