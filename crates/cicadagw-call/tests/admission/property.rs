//! Slots are neither lost nor assigned twice, whatever happens.

use std::collections::BTreeMap;

use cicadagw_call::Admission;
use cicadagw_call::admission::{Decision, Release, Ticket};
use cicadagw_unit::time::{Span, Timestamp};
use quickcheck::{Gen, QuickCheck};

use crate::{QUEUE_MAX, SLOTS, admission, at, constraints, policy};

/// The size of the generated inputs and the seed of the generator.
const SIZE: usize = 60;
const SEED: u64 = 7;

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
            Decision::Shed | Decision::Limited { .. } | Decision::Expired => {}
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
