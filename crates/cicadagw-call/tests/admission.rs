//! Admission runs no more calls than there are slots, starts the call that is due first, and never
//! loses a slot.

use std::collections::BTreeMap;

use cicadagw_call::Admission;
use cicadagw_call::admission::{Constraints, Decision, Release, Ticket};
use cicadagw_unit::id;
use cicadagw_unit::rate::Priority;
use cicadagw_unit::size::{Bytes, Slots};
use cicadagw_unit::time::{Span, Timestamp};
use quickcheck::{Gen, QuickCheck};

/// The size of the generated inputs and the seed of the generator.
const SIZE: usize = 60;
const SEED: u64 = 7;

const SLOTS: u32 = 2;
const QUEUE_MAX: u32 = 3;

fn constraints() -> Constraints {
    Constraints {
        policy: policy("wide"),
        concurrency: Slots::new(10),
        queue: Slots::new(QUEUE_MAX),
        priority: Priority::default(),
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
fn constraints_with_soft_deadline(name: &str, latency: u64, soft_deadline: u64) -> Constraints {
    Constraints {
        policy: policy(name),
        target_latency: Some(Span::new(latency)),
        soft_deadline: Some(at(soft_deadline)),
        ..constraints()
    }
}

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
        policy: policy("narrow"),
        concurrency: Slots::new(1),
        queue: Slots::new(0),
        priority: Priority::default(),
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

/// A model of the calls that run and wait.
#[derive(Default)]
struct Model {
    running: Vec<Ticket>,
    waiting: BTreeMap<Ticket, Timestamp>,
}

impl Model {
    /// Applies a release. It sheds no call, because the calls have no soft deadline.
    fn apply(&mut self, release: Release) {
        for ticket in release.started {
            self.waiting.remove(&ticket).expect("the call is queued");
            self.running.push(ticket);
        }
        for ticket in release.expired {
            self.waiting.remove(&ticket).expect("the call is queued");
        }
    }

    fn arrive(&mut self, admission: &mut Admission, now: Timestamp, deadline: Timestamp) {
        let (ticket, decision) = admission.offer(now, deadline, constraints());
        match decision {
            Decision::Start => self.running.push(ticket),
            Decision::Queue { displaced } => {
                self.waiting.insert(ticket, deadline);
                if let Some(displaced) = displaced {
                    self.waiting.remove(&displaced).expect("the call is queued");
                }
            }
            Decision::Shed | Decision::Expired => {}
        }
    }

    fn cancel(&mut self, admission: &mut Admission) {
        if let Some((ticket, _)) = self.waiting.pop_first() {
            assert!(admission.cancel(ticket));
        }
    }

    fn matches(&self, admission: &Admission) -> bool {
        let load = admission.load().in_flight.get() as usize;
        let has_idle_slot = self.running.len() < SLOTS as usize && !self.waiting.is_empty();
        self.running.len() <= SLOTS as usize
            && self.waiting.len() <= QUEUE_MAX as usize
            && load == self.running.len() + self.waiting.len()
            && !has_idle_slot
    }
}

/// Returns a property checker with a fixed seed, so that every run checks the same inputs.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED))
}

#[test]
fn slots_are_neither_lost_nor_assigned_twice() {
    fn property(steps: Vec<(u8, u16)>) -> bool {
        let mut admission = admission();
        let mut model = Model::default();
        let mut now = at(0);
        steps.into_iter().all(|(kind, number)| {
            let span = Span::new(u64::from(number % 100));
            match kind % 4 {
                0 | 1 => model.arrive(&mut admission, now, now.after(span)),
                2 if !model.running.is_empty() => {
                    now = now.after(span);
                    model.running.pop();
                    let release = admission.finish(now, &policy("wide"), span);
                    model.apply(release);
                }
                _ => model.cancel(&mut admission),
            }
            model.matches(&admission)
        })
    }

    seeded().quickcheck(property as fn(Vec<(u8, u16)>) -> bool);
}
