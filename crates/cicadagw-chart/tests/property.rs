//! A corrupted chart is either rejected with located findings or handles all events, and the states
//! of a valid chart follow its guards.

use cicadagw_chart::{Chart, Name, names};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// The seed of the property tests.
const SEED: u64 = 4;

/// The size parameter of the generated values.
const SIZE: usize = 40;

/// The number of inputs generated for each property.
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
    /// Events of a door.
    pub enum Event {
        /// Someone pushes the door.
        Push = "push",
        /// Someone pulls the door.
        Pull = "pull",
    }
}
names! {
    /// Guards of a door.
    pub enum Guard {
        /// The door is not locked.
        Free = "free",
    }
}
names! {
    /// Actions of a door.
    pub enum Action {
        /// Rings the bell.
        Ring = "ring",
    }
}

type Door = Chart<State, Event, Guard, Action>;

const VALID: &str = r#"{
  "initial": "shut",
  "states": {
    "shut": { "on": { "push": [{ "if": "free", "do": ["ring"], "to": "open" }] }, "ignore": ["pull"] },
    "open": { "on": { "pull": [{ "to": "shut" }] }, "ignore": ["push"] },
  },
}"#;

/// The words of the valid chart, which replace each other in a corrupted one.
const WORDS: [&str; 10] = [
    "shut", "open", "push", "pull", "free", "ring", "if", "do", "to", "ignore",
];

/// A valid chart in which up to three words were replaced.
#[derive(Clone, Debug)]
struct Corrupted(String);

impl Arbitrary for Corrupted {
    fn arbitrary(source: &mut Gen) -> Self {
        let mut text = VALID.to_owned();
        for _ in 0..u8::arbitrary(source) % 4 {
            let from = format!("\"{}\"", source.choose(&WORDS).unwrap());
            let to = format!("\"{}\"", source.choose(&WORDS).unwrap());
            let offsets: Vec<usize> = text.match_indices(&from).map(|(at, _)| at).collect();
            if let Some(at) = source.choose(&offsets) {
                text.replace_range(*at..at + from.len(), &to);
            }
        }
        Self(text)
    }
}

/// An event of a door, and whether the guard [`Guard::Free`] holds for it.
#[derive(Clone, Copy, Debug)]
struct Input {
    event: Event,
    free: bool,
}

impl Arbitrary for Input {
    fn arbitrary(source: &mut Gen) -> Self {
        Self {
            event: *source.choose(Event::ALL).unwrap(),
            free: bool::arbitrary(source),
        }
    }
}

/// Executes a chart from its initial state, and returns the states that it passes through.
fn run(door: &Door, inputs: &[Input]) -> Vec<State> {
    let mut state = door.initial();
    let mut states = vec![state];
    for input in inputs {
        state = door.step(state, input.event, |Guard::Free| input.free).to;
        states.push(state);
    }
    states
}

fn line_count(text: &str) -> usize {
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
fn a_corrupted_chart_is_rejected_with_locations_or_handles_all_events() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(chart: Corrupted, inputs: Vec<Input>) -> bool {
        match Door::load("door.jsonc", &chart.0) {
            Ok(door) => run(&door, &inputs).len() == inputs.len() + 1,
            Err(findings) => {
                let findings = findings.as_slice();
                let last = line_count(&chart.0);
                !findings.is_empty()
                    && findings
                        .iter()
                        .all(|finding| (1..=last).contains(&finding.location.line))
            }
        }
    }

    check(property as fn(Corrupted, Vec<Input>) -> bool);
}

#[test]
fn a_locked_door_stays_shut() {
    fn property(events: Vec<bool>) -> bool {
        let door = Door::load("door.jsonc", VALID).unwrap();
        let inputs: Vec<Input> = events
            .into_iter()
            .map(|push| Input {
                event: if push { Event::Push } else { Event::Pull },
                free: false,
            })
            .collect();
        run(&door, &inputs)
            .iter()
            .all(|state| *state == State::Shut)
    }

    check(property as fn(Vec<bool>) -> bool);
}
