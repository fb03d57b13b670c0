//! Whole calls by the chart, and what holds of every one of them.

#![allow(
    clippy::needless_pass_by_value,
    reason = "the checker passes its values on"
)]

use cicadagw_call::attempt::{Action, Attempts, Conditions, Event, MOVES_MAX, State};
use cicadagw_chart::Name;
use cicadagw_config::Policy;
use cicadagw_config::policy::Idempotency;
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// How large the generated values are, and what their choice begins with.
const SIZE: usize = 60;
const SEED: u64 = 7;

const FREE: Conditions = Conditions {
    replayable: true,
    can_spend: true,
};
const SPENT: Conditions = Conditions {
    replayable: true,
    can_spend: false,
};
const GONE_BODY: Conditions = Conditions {
    replayable: false,
    can_spend: true,
};

fn call(method: &str, attempts: u8) -> Attempts {
    Attempts::new(&Policy::builder().attempts(attempts).build(), method)
}

/// Writes down what a call does with `events`.
fn session(mut call: Attempts, events: &[(Event, Conditions)]) -> String {
    let mut lines = vec![call.state().to_string()];
    for (event, facts) in events {
        let actions = call.step(*event, *facts);
        let actions: Vec<_> = actions.iter().map(ToString::to_string).collect();
        lines.push(format!(
            "{event} -> {} [{}]",
            call.state(),
            actions.join(", ")
        ));
    }
    lines.join("\n")
}

#[test]
fn a_lost_get_is_tried_again_and_answered() {
    let events = [
        (Event::Chosen, FREE),
        (Event::Lost, FREE),
        (Event::Chosen, FREE),
        (Event::Answer, FREE),
    ];

    insta::assert_snapshot!(session(call("GET", 3), &events));
}

#[test]
fn a_lost_post_is_unknown() {
    let events = [(Event::Chosen, FREE), (Event::Lost, FREE)];

    insta::assert_snapshot!(session(call("POST", 3), &events));
}

#[test]
fn a_refused_post_is_tried_until_its_attempts_are_spent() {
    let events = [
        (Event::Chosen, FREE),
        (Event::Leaving, SPENT),
        (Event::Chosen, FREE),
        (Event::Shed, FREE),
        (Event::Chosen, FREE),
        (Event::Leaving, SPENT),
        (Event::Chosen, FREE),
        (Event::Shed, FREE),
        (Event::Chosen, FREE),
        (Event::Shed, FREE),
    ];

    insta::assert_snapshot!(session(call("POST", 3), &events));
}

#[test]
fn a_shed_call_ends_when_the_budget_is_spent() {
    let events = [(Event::Chosen, FREE), (Event::Shed, SPENT)];

    insta::assert_snapshot!(session(call("POST", 3), &events));
}

#[test]
fn a_refused_call_after_a_lost_one_is_unknown() {
    let events = [
        (Event::Chosen, FREE),
        (Event::Lost, FREE),
        (Event::Chosen, FREE),
        (Event::Leaving, GONE_BODY),
    ];

    insta::assert_snapshot!(session(call("GET", 3), &events));
}

/// Any facts at any event.
#[derive(Clone, Copy, Debug)]
struct Step(Event, Conditions);

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let facts = Conditions {
            replayable: bool::arbitrary(g),
            can_spend: bool::arbitrary(g),
        };
        Self(*g.choose(Event::ALL).unwrap(), facts)
    }
}

/// What was counted on the way of a call.
#[derive(Debug, Default)]
struct Tally {
    /// Attempts that may have run.
    ran: usize,
    /// Attempts that were made.
    sent: usize,
    /// Attempts that were refused by targets that leave.
    moved: usize,
}

/// Takes a call through `steps`.
fn run(call: &mut Attempts, steps: &[Step]) -> Tally {
    let mut tally = Tally::default();
    for Step(event, facts) in steps {
        if matches!(call.state(), State::Trying | State::Retrying) {
            match event {
                Event::Answer | Event::Lost | Event::Deadline => tally.ran += 1,
                Event::Leaving => tally.moved += 1,
                _ => {}
            }
        }
        let actions = call.step(*event, *facts);
        tally.sent += actions
            .iter()
            .filter(|action| **action == Action::Send)
            .count();
    }
    tally
}

/// Returns a checker that takes the same way on every run.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED))
}

#[test]
fn a_call_that_may_have_run_never_ends_as_not_run() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut call = call("GET", 3);
        let tally = run(&mut call, &steps);
        tally.ran == 0 || call.state() != State::NotRun
    }

    seeded().quickcheck(holds as fn(Vec<Step>) -> bool);
}

#[test]
fn a_call_that_is_not_idempotent_runs_once_at_most() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut call = call("POST", 5);
        run(&mut call, &steps).ran <= 1
    }

    seeded().quickcheck(holds as fn(Vec<Step>) -> bool);
}

#[test]
fn a_call_that_must_not_repeat_runs_once_whatever_its_method() {
    fn holds(steps: Vec<Step>) -> bool {
        let policy = Policy::builder().idempotency(Idempotency::Never).build();
        run(&mut Attempts::new(&policy, "GET"), &steps).ran <= 1
    }

    seeded().quickcheck(holds as fn(Vec<Step>) -> bool);
}

#[test]
fn no_more_attempts_are_made_than_the_policy_allows() {
    fn holds(steps: Vec<Step>, attempts: u8) -> bool {
        let attempts = attempts.clamp(1, 5);
        let tally = run(&mut call("GET", attempts), &steps);
        tally.sent - tally.moved <= usize::from(attempts)
    }

    seeded().quickcheck(holds as fn(Vec<Step>, u8) -> bool);
}

#[test]
fn a_call_that_finds_nobody_ends() {
    let mut call = call("GET", 3);
    let mut sends = 0;

    while call.step(Event::Chosen, FREE).contains(&Action::Send) {
        sends += 1;
        call.step(Event::Leaving, FREE);
    }

    assert_eq!(call.state(), State::NotRun);
    assert_eq!(sends, usize::from(MOVES_MAX) + 1);
}

#[test]
fn nothing_is_sent_again_without_its_body() {
    fn holds(steps: Vec<Step>) -> bool {
        let steps: Vec<_> = steps
            .into_iter()
            .map(|step| Step(step.0, GONE_BODY))
            .collect();
        run(&mut call("GET", 5), &steps).sent <= 1
    }

    seeded().quickcheck(holds as fn(Vec<Step>) -> bool);
}
