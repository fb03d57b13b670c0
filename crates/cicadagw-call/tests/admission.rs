//! No more calls run than there are slots, those due first go first, and no place is lost.

use std::collections::BTreeMap;

use cicadagw_call::Admission;
use cicadagw_call::admission::{Constraints, Decision, Release, Ticket};
use cicadagw_unit::id;
use cicadagw_unit::rate::Priority;
use cicadagw_unit::size::{Bytes, Slots};
use cicadagw_unit::time::{Span, Timestamp};
use quickcheck::{Gen, QuickCheck};

/// How large the generated values are, and what their choice begins with.
const SIZE: usize = 60;
const SEED: u64 = 7;

const SLOTS: u32 = 2;
const QUEUE: u32 = 3;

fn limit() -> Constraints {
    Constraints {
        policy: policy("wide"),
        concurrency: Slots::new(10),
        queue: Slots::new(QUEUE),
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

/// Fills every slot.
fn busy() -> Admission {
    let mut admission = admission();
    for _ in 0..SLOTS {
        assert_eq!(admission.offer(at(0), at(900), limit()).1, Decision::Start);
    }
    admission
}

#[test]
fn the_earliest_deadline_goes_first() {
    let mut admission = busy();
    let (_, later) = admission.offer(at(0), at(800), limit());
    let (sooner, _) = admission.offer(at(1), at(500), limit());

    let release = admission.abandon(at(2), &policy("wide"), Span::new(0));

    assert_eq!(later, Decision::Queue { displaced: None });
    assert_eq!(release.started.as_slice(), [sooner]);
}

#[test]
fn a_call_whose_time_is_over_does_not_start() {
    let mut admission = busy();
    let (late, _) = admission.offer(at(0), at(100), limit());
    let (next, _) = admission.offer(at(0), at(800), limit());

    let release = admission.abandon(at(100), &policy("wide"), Span::new(0));

    assert_eq!(release.expired.as_slice(), [late]);
    assert_eq!(release.started.as_slice(), [next]);
}

#[test]
fn a_call_that_cannot_be_in_time_does_not_wait() {
    let mut admission = busy();
    admission.finish(at(400), &policy("wide"), Span::new(400));
    admission.offer(at(400), at(9_000), limit());

    let (_, verdict) = admission.offer(at(400), at(500), limit());

    assert_eq!(verdict, Decision::Shed);
}

#[test]
fn calls_that_never_end_tell_how_long_calls_take() {
    let mut admission = busy();
    admission.abandon(at(400), &policy("wide"), Span::new(400));
    admission.offer(at(400), at(9_000), limit());

    let (_, verdict) = admission.offer(at(400), at(500), limit());

    assert_eq!(verdict, Decision::Shed);
}

#[test]
fn calls_that_are_given_up_early_tell_nothing() {
    let mut admission = busy();
    admission.finish(at(400), &policy("wide"), Span::new(400));
    admission.abandon(at(401), &policy("wide"), Span::new(1));
    admission.offer(at(401), at(9_000), limit());
    admission.offer(at(401), at(9_000), limit());

    let (_, verdict) = admission.offer(at(401), at(701), limit());

    assert_eq!(verdict, Decision::Shed);
}

#[test]
fn a_call_that_would_miss_its_target_does_not_wait() {
    let mut admission = busy();
    admission.finish(at(400), &policy("wide"), Span::new(400));
    admission.offer(at(400), at(9_000), limit());
    let soon = |rank| Constraints {
        priority: Priority::new(rank),
        soft_deadline: Some(at(1_100)),
        ..limit()
    };

    let (_, urgent) = admission.offer(at(400), at(9_000), soon(0));
    let (_, patient) = admission.offer(at(400), at(9_000), soon(2));

    assert_eq!(urgent, Decision::Queue { displaced: None });
    assert_eq!(patient, Decision::Shed);
}

#[test]
fn a_full_queue_gives_up_the_latest_deadline() {
    let mut admission = busy();
    let (latest, _) = admission.offer(at(0), at(900), limit());
    admission.offer(at(0), at(800), limit());
    admission.offer(at(0), at(700), limit());

    let (_, sooner) = admission.offer(at(0), at(600), limit());
    let (_, later) = admission.offer(at(0), at(950), limit());

    assert_eq!(
        sooner,
        Decision::Queue {
            displaced: Some(latest)
        }
    );
    assert_eq!(later, Decision::Shed);
}

/// A limit whose calls are to be answered within `latency`, the first of them until `target`.
fn timed(name: &str, latency: u64, target: u64) -> Constraints {
    Constraints {
        policy: policy(name),
        target_latency: Some(Span::new(latency)),
        soft_deadline: Some(at(target)),
        ..limit()
    }
}

#[test]
fn a_call_that_can_meet_its_target_goes_before_a_late_one() {
    let mut admission = busy();
    let (late, _) = admission.offer(at(0), at(900), timed("wide", 600, 30));
    let (timely, _) = admission.offer(at(0), at(900), timed("wide", 600, 600));

    let release = admission.abandon(at(40), &policy("wide"), Span::new(0));
    let next = admission.abandon(at(41), &policy("wide"), Span::new(0));

    assert_eq!(release.started.as_slice(), [timely]);
    assert_eq!(next.started.as_slice(), [late]);
}

#[test]
fn a_call_does_not_wait_for_younger_ones_until_it_can_hardly_be_in_time() {
    let mut admission = busy();
    let (older, _) = admission.offer(at(0), at(5_000), timed("report", 1_500, 1_500));
    admission.offer(at(330), at(5_000), timed("lookup", 600, 930));

    let release = admission.abandon(at(331), &policy("wide"), Span::new(0));

    assert_eq!(release.started.as_slice(), [older]);
}

#[test]
fn of_two_calls_of_one_age_the_one_with_less_time_goes_first() {
    let mut admission = busy();
    admission.offer(at(0), at(5_000), timed("report", 1_500, 1_500));
    let (lookup, _) = admission.offer(at(10), at(5_000), timed("lookup", 600, 610));

    let release = admission.abandon(at(11), &policy("wide"), Span::new(0));

    assert_eq!(release.started.as_slice(), [lookup]);
}

#[test]
fn a_call_waits_for_the_work_of_those_before_it_whatever_others_take() {
    let mut admission = admission();
    for (name, spent) in [("slow", 400), ("slow", 400), ("quick", 10), ("quick", 10)] {
        admission.offer(at(0), at(9_000), timed(name, 600, 600));
        admission.finish(at(0), &policy(name), Span::new(spent));
    }
    for _ in 0..2 * SLOTS {
        admission.offer(at(0), at(9_000), timed("quick", 600, 600));
    }
    let patient = Constraints {
        priority: Priority::new(2),
        ..timed("quick", 600, 600)
    };

    let (_, verdict) = admission.offer(at(0), at(9_000), patient);

    assert!(matches!(verdict, Decision::Queue { .. }), "{verdict:?}");
}

#[test]
fn a_brief_call_goes_before_others_even_when_it_is_late() {
    let mut admission = busy();
    let (_, long) = admission.offer(at(0), at(900), timed("wide", 600, 600));
    let (brief, _) = admission.offer(at(0), at(400), timed("brief", 120, 30));

    let release = admission.abandon(at(40), &policy("wide"), Span::new(0));

    assert_eq!(long, Decision::Queue { displaced: None });
    assert_eq!(release.started.as_slice(), [brief]);
}

#[test]
fn a_late_call_is_refused_long_before_its_deadline() {
    let mut admission = busy();
    let (late, _) = admission.offer(at(0), at(430), timed("wide", 30, 30));
    let (_, timely) = admission.offer(at(0), at(900), timed("wide", 600, 600));

    let first = admission.abandon(at(229), &policy("wide"), Span::new(0));
    admission.offer(at(229), at(900), timed("wide", 600, 600));
    admission.offer(at(229), at(900), timed("wide", 600, 600));
    let second = admission.abandon(at(231), &policy("wide"), Span::new(0));

    assert_eq!(timely, Decision::Queue { displaced: None });
    assert!(first.shed.is_empty());
    assert_eq!(second.shed.as_slice(), [late]);
}

#[test]
fn a_call_that_is_late_on_arrival_waits_behind_all_others() {
    let mut admission = busy();
    admission.finish(at(100), &policy("wide"), Span::new(60));
    admission.offer(at(100), at(900), limit());
    admission.offer(at(100), at(900), limit());

    let (_, verdict) = admission.offer(at(100), at(900), timed("wide", 600, 90));

    assert_eq!(verdict, Decision::Shed);
}

#[test]
fn a_full_queue_gives_the_place_of_a_late_call_first() {
    let mut admission = busy();
    let (late, _) = admission.offer(at(0), at(900), timed("wide", 600, 30));
    for _ in 1..QUEUE {
        admission.offer(at(0), at(900), timed("wide", 600, 500));
    }

    let (_, verdict) = admission.offer(at(40), at(900), timed("wide", 600, 600));

    assert_eq!(
        verdict,
        Decision::Queue {
            displaced: Some(late)
        }
    );
}

#[test]
fn a_large_answer_that_would_wait_for_the_link_is_refused() {
    let mut admission = admission();
    admission.record_size(&policy("large"), Bytes::new(90_000));
    admission.record_size(&policy("short"), Bytes::new(900));
    let behind = |name| Constraints {
        link_backlog: Span::new(700),
        ..timed(name, 600, 600)
    };

    let (_, large) = admission.offer(at(0), at(900), behind("large"));
    let (_, short) = admission.offer(at(0), at(900), behind("short"));

    assert_eq!((large, short), (Decision::Shed, Decision::Start));
}

#[test]
fn a_policy_may_allow_less_than_the_slots() {
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
    let (_, other) = admission.offer(at(0), at(900), limit());

    assert_eq!((first, second), (Decision::Start, Decision::Shed));
    assert_eq!(other, Decision::Start);
}

/// Every call and where it stands.
#[derive(Default)]
struct Model {
    running: Vec<Ticket>,
    waiting: BTreeMap<Ticket, Timestamp>,
}

impl Model {
    fn take(&mut self, release: Release) {
        for ticket in release.started {
            self.waiting.remove(&ticket).expect("it waited");
            self.running.push(ticket);
        }
        for ticket in release.expired {
            self.waiting.remove(&ticket).expect("it waited");
        }
    }

    fn arrive(&mut self, admission: &mut Admission, now: Timestamp, deadline: Timestamp) {
        let (ticket, verdict) = admission.offer(now, deadline, limit());
        match verdict {
            Decision::Start => self.running.push(ticket),
            Decision::Queue { displaced } => {
                self.waiting.insert(ticket, deadline);
                if let Some(displaced) = displaced {
                    self.waiting.remove(&displaced).expect("it waited");
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

    fn agrees(&self, admission: &Admission) -> bool {
        let load = admission.load().in_flight.get() as usize;
        let is_idle = self.running.len() < SLOTS as usize && !self.waiting.is_empty();
        self.running.len() <= SLOTS as usize
            && self.waiting.len() <= QUEUE as usize
            && load == self.running.len() + self.waiting.len()
            && !is_idle
    }
}

/// Returns a checker that takes the same way on every run.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED))
}

#[test]
fn places_are_neither_lost_nor_given_twice() {
    fn holds(steps: Vec<(u8, u16)>) -> bool {
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
                    model.take(release);
                }
                _ => model.cancel(&mut admission),
            }
            model.agrees(&admission)
        })
    }

    seeded().quickcheck(holds as fn(Vec<(u8, u16)>) -> bool);
}
