//! Any text is a whole chart or is refused, and a whole chart takes any events.

use cicadagw_chart::{Chart, Name, names};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// The seed of the property tests.
const SEED: u64 = 4;

/// How large the values of the property tests are.
const SIZE: usize = 40;

/// How many values a property is tried with.
const TRIES: u64 = 2_000;

names! {
    /// States of a door.
    pub enum State {
        /// Shut.
        Shut = "shut",
        /// Open.
        Open = "open",
    }
}
names! {
    /// What happens to a door.
    pub enum Event {
        /// Somebody pushes.
        Push = "push",
        /// Somebody pulls.
        Pull = "pull",
    }
}
names! {
    /// What must be true.
    pub enum Guard {
        /// The door is not locked.
        Free = "free",
    }
}
names! {
    /// What is to be done.
    pub enum Action {
        /// Ring the bell.
        Ring = "ring",
    }
}

type Door = Chart<State, Event, Guard, Action>;

const GOOD: &str = r#"{
  "initial": "shut",
  "states": {
    "shut": { "on": { "push": [{ "if": "free", "do": ["ring"], "to": "open" }] }, "ignore": ["pull"] },
    "open": { "on": { "pull": [{ "to": "shut" }] }, "ignore": ["push"] },
  },
}"#;

/// The words of a chart, which are exchanged to break it.
const WORDS: [&str; 10] = [
    "shut", "open", "push", "pull", "free", "ring", "if", "do", "to", "ignore",
];

/// A good chart in which some words were exchanged for others.
#[derive(Clone, Debug)]
struct Broken(String);

impl Arbitrary for Broken {
    fn arbitrary(source: &mut Gen) -> Self {
        let mut text = GOOD.to_owned();
        for _ in 0..u8::arbitrary(source) % 4 {
            let from = format!("\"{}\"", source.choose(&WORDS).unwrap());
            let to = format!("\"{}\"", source.choose(&WORDS).unwrap());
            let places: Vec<usize> = text.match_indices(&from).map(|(at, _)| at).collect();
            if let Some(at) = source.choose(&places) {
                text.replace_range(*at..at + from.len(), &to);
            }
        }
        Self(text)
    }
}

/// Something that happens to a door, and whether it is locked.
#[derive(Clone, Copy, Debug)]
struct Push {
    event: Event,
    free: bool,
}

impl Arbitrary for Push {
    fn arbitrary(source: &mut Gen) -> Self {
        Self {
            event: *source.choose(Event::ALL).unwrap(),
            free: bool::arbitrary(source),
        }
    }
}

/// Walks through a chart from its first state, and returns the states it was in.
fn walk(door: &Door, pushes: &[Push]) -> Vec<State> {
    let mut state = door.initial();
    let mut states = vec![state];
    for push in pushes {
        state = door.step(state, push.event, |Guard::Free| push.free).to;
        states.push(state);
    }
    states
}

fn lines(text: &str) -> usize {
    text.split('\n').count()
}

fn check(property: impl quickcheck::Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(TRIES)
        .max_tests(TRIES * 2)
        .quickcheck(property);
}

#[test]
fn a_broken_chart_is_refused_with_places_or_takes_any_events() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the property library passes values"
    )]
    fn property(broken: Broken, pushes: Vec<Push>) -> bool {
        match Door::load("door.jsonc", &broken.0) {
            Ok(door) => walk(&door, &pushes).len() == pushes.len() + 1,
            Err(findings) => {
                let findings = findings.as_slice();
                let last = lines(&broken.0);
                !findings.is_empty()
                    && findings
                        .iter()
                        .all(|finding| (1..=last).contains(&finding.location.line))
            }
        }
    }

    check(property as fn(Broken, Vec<Push>) -> bool);
}

#[test]
fn a_locked_door_stays_shut() {
    fn property(events: Vec<bool>) -> bool {
        let door = Door::load("door.jsonc", GOOD).unwrap();
        let pushes: Vec<Push> = events
            .into_iter()
            .map(|push| Push {
                event: if push { Event::Push } else { Event::Pull },
                free: false,
            })
            .collect();
        walk(&door, &pushes)
            .iter()
            .all(|state| *state == State::Shut)
    }

    check(property as fn(Vec<bool>) -> bool);
}
