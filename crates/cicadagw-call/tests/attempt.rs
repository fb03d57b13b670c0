//! Attempts of calls: recorded state transitions and properties that hold for every sequence of
//! events.

#![allow(
    clippy::needless_pass_by_value,
    reason = "the checker passes arguments by value"
)]

use cicadagw_call::attempt::{Action, Attempts, Conditions, Event, REROUTES_MAX, State};
use cicadagw_chart::Name;
use cicadagw_config::Policy;
use cicadagw_config::policy::Idempotency;
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// The size of the generated inputs and the seed of the generator.
const SIZE: usize = 60;
const SEED: u64 = 7;

const BUDGET_LEFT: Conditions = Conditions {
    replayable: true,
    can_spend: true,
};
const BUDGET_SPENT: Conditions = Conditions {
    replayable: true,
    can_spend: false,
};
const BODY_DISCARDED: Conditions = Conditions {
    replayable: false,
    can_spend: true,
};

fn call(method: &str, attempts: u8) -> Attempts {
    Attempts::new(&Policy::builder().attempts(attempts).build(), method)
}

/// Records the transitions of a call on `events`.
fn transitions(mut call: Attempts, events: &[(Event, Conditions)]) -> String {
    let mut lines = vec![call.state().to_string()];
    for (event, conditions) in events {
        let actions = call.step(*event, *conditions);
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
fn a_lost_get_is_retried_and_answered() {
    let events = [
        (Event::Chosen, BUDGET_LEFT),
        (Event::Lost, BUDGET_LEFT),
        (Event::Chosen, BUDGET_LEFT),
        (Event::Answer, BUDGET_LEFT),
    ];

    insta::assert_snapshot!(transitions(call("GET", 3), &events));
}

#[test]
fn a_lost_post_ends_as_unknown() {
    let events = [(Event::Chosen, BUDGET_LEFT), (Event::Lost, BUDGET_LEFT)];

    insta::assert_snapshot!(transitions(call("POST", 3), &events));
}

#[test]
fn a_refused_post_is_retried_until_no_attempts_are_left() {
    let events = [
        (Event::Chosen, BUDGET_LEFT),
        (Event::Leaving, BUDGET_SPENT),
        (Event::Chosen, BUDGET_LEFT),
        (Event::Shed, BUDGET_LEFT),
        (Event::Chosen, BUDGET_LEFT),
        (Event::Leaving, BUDGET_SPENT),
        (Event::Chosen, BUDGET_LEFT),
        (Event::Shed, BUDGET_LEFT),
        (Event::Chosen, BUDGET_LEFT),
        (Event::Shed, BUDGET_LEFT),
    ];

    insta::assert_snapshot!(transitions(call("POST", 3), &events));
}

#[test]
fn a_shed_call_is_not_retried_without_retry_budget() {
    let events = [(Event::Chosen, BUDGET_LEFT), (Event::Shed, BUDGET_SPENT)];

    insta::assert_snapshot!(transitions(call("POST", 3), &events));
}

#[test]
fn a_refusal_after_a_lost_attempt_ends_as_unknown() {
    let events = [
        (Event::Chosen, BUDGET_LEFT),
        (Event::Lost, BUDGET_LEFT),
        (Event::Chosen, BUDGET_LEFT),
        (Event::Leaving, BODY_DISCARDED),
    ];

    insta::assert_snapshot!(transitions(call("GET", 3), &events));
}

/// An event under any conditions.
#[derive(Clone, Copy, Debug)]
struct Step(Event, Conditions);

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let conditions = Conditions {
            replayable: bool::arbitrary(g),
            can_spend: bool::arbitrary(g),
        };
        Self(*g.choose(Event::ALL).unwrap(), conditions)
    }
}

/// Counts of the attempts of a call.
#[derive(Debug, Default)]
struct Tally {
    /// Attempts that may have been executed.
    executed: usize,
    /// Attempts that were sent.
    sent: usize,
    /// Attempts that were refused by targets that accept no calls.
    rerouted: usize,
}

/// Applies `steps` to a call.
fn run(call: &mut Attempts, steps: &[Step]) -> Tally {
    let mut tally = Tally::default();
    for Step(event, conditions) in steps {
        if matches!(call.state(), State::Trying | State::Retrying) {
            match event {
                Event::Answer | Event::Lost | Event::Deadline => tally.executed += 1,
                Event::Leaving => tally.rerouted += 1,
                _ => {}
            }
        }
        let actions = call.step(*event, *conditions);
        tally.sent += actions
            .iter()
            .filter(|action| **action == Action::Send)
            .count();
    }
    tally
}

/// Returns a property checker with a fixed seed, so that every run checks the same inputs.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED))
}

#[test]
fn a_call_that_may_have_been_executed_never_ends_as_not_run() {
    fn property(steps: Vec<Step>) -> bool {
        let mut call = call("GET", 3);
        let tally = run(&mut call, &steps);
        tally.executed == 0 || call.state() != State::NotRun
    }

    seeded().quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn a_non_idempotent_call_is_executed_at_most_once() {
    fn property(steps: Vec<Step>) -> bool {
        let mut call = call("POST", 5);
        run(&mut call, &steps).executed <= 1
    }

    seeded().quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn a_policy_without_idempotency_executes_any_method_at_most_once() {
    fn property(steps: Vec<Step>) -> bool {
        let policy = Policy::builder().idempotency(Idempotency::Never).build();
        run(&mut Attempts::new(&policy, "GET"), &steps).executed <= 1
    }

    seeded().quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn attempts_stay_within_the_limit_of_the_policy() {
    fn property(steps: Vec<Step>, attempts: u8) -> bool {
        let attempts = attempts.clamp(1, 5);
        let tally = run(&mut call("GET", attempts), &steps);
        tally.sent - tally.rerouted <= usize::from(attempts)
    }

    seeded().quickcheck(property as fn(Vec<Step>, u8) -> bool);
}

#[test]
fn a_call_ends_when_its_reroutes_are_used_up() {
    let mut call = call("GET", 3);
    let mut sends = 0;

    while call
        .step(Event::Chosen, BUDGET_LEFT)
        .contains(&Action::Send)
    {
        sends += 1;
        call.step(Event::Leaving, BUDGET_LEFT);
    }

    assert_eq!(call.state(), State::NotRun);
    assert_eq!(sends, usize::from(REROUTES_MAX) + 1);
}

#[test]
fn a_request_without_a_buffered_body_is_sent_once() {
    fn property(steps: Vec<Step>) -> bool {
        let steps: Vec<_> = steps
            .into_iter()
            .map(|step| Step(step.0, BODY_DISCARDED))
            .collect();
        run(&mut call("GET", 5), &steps).sent <= 1
    }

    seeded().quickcheck(property as fn(Vec<Step>) -> bool);
}
