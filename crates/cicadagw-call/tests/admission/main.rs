//! Admission runs no more calls than there are slots, starts the call that is due first, and never
//! loses a slot.

mod property;
mod soft_deadline;

use cicadagw_call::Admission;
use cicadagw_call::admission::{Constraints, Decision};
use cicadagw_unit::id;
use cicadagw_unit::rate::Priority;
use cicadagw_unit::size::{Bytes, Slots};
use cicadagw_unit::time::{Span, Timestamp};

const SLOTS: u32 = 2;
const QUEUE_MAX: u32 = 3;

fn constraints() -> Constraints {
    Constraints {
        account: None,
        policy: policy("wide"),
        concurrency: Slots::new(10),
        queue: Slots::new(QUEUE_MAX),
        priority: Priority::default(),
        policy_priority: Priority::default(),
        soft_deadline: None,
        target_latency: None,
        link_backlog: Span::new(0),
    }
}

fn policy(name: &str) -> id::Policy {
    name.parse().unwrap()
}

fn admission() -> Admission {
    Admission::new(Slots::new(SLOTS))
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::new(milliseconds)
}

/// Returns an admission with a call running in every slot.
fn full_admission() -> Admission {
    let mut admission = admission();
    for _ in 0..SLOTS {
        assert_eq!(
            admission.offer(at(0), at(900), constraints()).1,
            Decision::Start
        );
    }
    admission
}

fn constraints_with_soft_deadline(name: &str, latency: u64, soft_deadline: u64) -> Constraints {
    Constraints {
        account: None,
        policy: policy(name),
        target_latency: Some(Span::new(latency)),
        soft_deadline: Some(at(soft_deadline)),
        ..constraints()
    }
}

#[test]
fn queued_calls_start_in_order_of_their_deadlines() {
    let mut admission = full_admission();
    let (_, later) = admission.offer(at(0), at(800), constraints());
    let (sooner, _) = admission.offer(at(1), at(500), constraints());

    let release = admission.abandon(at(2), &policy("wide"), Span::new(0));

    assert_eq!(later, Decision::Queue { displaced: None });
    assert_eq!(release.started.as_slice(), [sooner]);
}

#[test]
fn a_queued_call_past_its_deadline_expires() {
    let mut admission = full_admission();
    let (expired, _) = admission.offer(at(0), at(100), constraints());
    let (next, _) = admission.offer(at(0), at(800), constraints());

    let release = admission.abandon(at(100), &policy("wide"), Span::new(0));

    assert_eq!(release.expired.as_slice(), [expired]);
    assert_eq!(release.started.as_slice(), [next]);
}

#[test]
fn a_call_that_cannot_meet_its_deadline_is_shed() {
    let mut admission = full_admission();
    admission.finish(at(400), &policy("wide"), Span::new(400));
    admission.offer(at(400), at(9_000), constraints());

    let (_, decision) = admission.offer(at(400), at(500), constraints());

    assert_eq!(decision, Decision::Shed);
}

#[test]
fn a_call_of_a_policy_without_samples_starts_at_an_idle_backend_server() {
    let mut admission = admission();
    admission.offer(at(0), at(5_000), constraints());
    admission.finish(at(900), &policy("wide"), Span::new(900));
    let brief = Constraints {
        policy: policy("brief"),
        ..constraints()
    };

    // The work time of the other policy says nothing of this one, which never gets a sample if it is
    // refused for it.
    let (_, decision) = admission.offer(at(1_000), at(1_600), brief);

    assert_eq!(decision, Decision::Start);
}

#[test]
fn an_abandoned_call_above_the_average_raises_the_average_work_time() {
    let mut admission = full_admission();
    admission.abandon(at(400), &policy("wide"), Span::new(400));
    admission.offer(at(400), at(9_000), constraints());

    let (_, decision) = admission.offer(at(400), at(500), constraints());

    assert_eq!(decision, Decision::Shed);
}

#[test]
fn a_call_abandoned_early_does_not_lower_the_average_work_time() {
    let mut admission = full_admission();
    admission.finish(at(400), &policy("wide"), Span::new(400));
    admission.abandon(at(401), &policy("wide"), Span::new(1));
    admission.offer(at(401), at(9_000), constraints());
    admission.offer(at(401), at(9_000), constraints());

    let (_, decision) = admission.offer(at(401), at(701), constraints());

    assert_eq!(decision, Decision::Shed);
}

#[test]
fn a_low_priority_call_that_would_use_up_its_slack_is_shed() {
    let mut admission = full_admission();
    admission.finish(at(400), &policy("wide"), Span::new(400));
    admission.offer(at(400), at(9_000), constraints());
    let with_priority = |priority| Constraints {
        priority: Priority::new(priority),
        soft_deadline: Some(at(1_100)),
        ..constraints()
    };

    let (_, high_priority) = admission.offer(at(400), at(9_000), with_priority(0));
    let (_, low_priority) = admission.offer(at(400), at(9_000), with_priority(2));

    assert_eq!(high_priority, Decision::Queue { displaced: None });
    assert_eq!(low_priority, Decision::Shed);
}

#[test]
fn a_full_queue_sheds_the_call_with_the_latest_deadline() {
    let mut admission = full_admission();
    let (latest, _) = admission.offer(at(0), at(900), constraints());
    admission.offer(at(0), at(800), constraints());
    admission.offer(at(0), at(700), constraints());

    let (_, sooner) = admission.offer(at(0), at(600), constraints());
    let (_, later) = admission.offer(at(0), at(950), constraints());

    assert_eq!(
        sooner,
        Decision::Queue {
            displaced: Some(latest)
        }
    );
    assert_eq!(later, Decision::Shed);
}

/// Returns the constraints of a call under the policy `name` with a target latency and a soft
/// deadline, in milliseconds.
#[test]
fn a_call_with_a_large_response_is_shed_when_the_link_is_congested() {
    let mut admission = admission();
    admission.record_size(&policy("large"), Bytes::new(90_000));
    admission.record_size(&policy("short"), Bytes::new(900));
    let with_backlog = |name| Constraints {
        link_backlog: Span::new(700),
        ..constraints_with_soft_deadline(name, 600, 600)
    };

    let (_, large) = admission.offer(at(0), at(900), with_backlog("large"));
    let (_, short) = admission.offer(at(0), at(900), with_backlog("short"));

    assert_eq!((large, short), (Decision::Shed, Decision::Start));
}

#[test]
fn the_concurrency_of_a_policy_limits_its_calls_below_the_slots() {
    let mut admission = admission();
    let narrow = || Constraints {
        account: None,
        policy: policy("narrow"),
        concurrency: Slots::new(1),
        queue: Slots::new(0),
        priority: Priority::default(),
        policy_priority: Priority::default(),
        soft_deadline: None,
        target_latency: None,
        link_backlog: Span::new(0),
    };
    let (_, first) = admission.offer(at(0), at(900), narrow());

    let (_, second) = admission.offer(at(0), at(900), narrow());
    let (_, other) = admission.offer(at(0), at(900), constraints());

    assert_eq!((first, second), (Decision::Start, Decision::Shed));
    assert_eq!(other, Decision::Start);
}
