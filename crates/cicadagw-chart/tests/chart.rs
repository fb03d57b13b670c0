//! A chart takes the transitions that its file names, and a wrong file is refused with every
//! finding at its place.

use cicadagw_chart::{Chart, Transition, names};

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
  // A door with a lock.
  "initial": "shut",
  "states": {
    "shut": { "on": { "push": [{ "if": "free", "do": ["ring"], "to": "open" }] }, "ignore": ["pull"] },
    "open": { "on": { "pull": [{ "to": "shut" }] }, "ignore": ["push"] },
  },
}"#;

fn door() -> Door {
    Chart::load("door.jsonc", GOOD).unwrap()
}

#[test]
fn a_rule_is_taken_when_its_guard_holds() {
    let door = door();

    let step = door.step(door.initial(), Event::Push, |Guard::Free| true);

    assert_eq!(
        step,
        Transition {
            to: State::Open,
            actions: &[Action::Ring]
        }
    );
}

#[test]
fn a_rule_is_left_when_its_guard_fails() {
    let door = door();

    let step = door.step(State::Shut, Event::Push, |Guard::Free| false);

    assert_eq!(
        step,
        Transition {
            to: State::Shut,
            actions: &[]
        }
    );
}

#[test]
fn an_ignored_event_changes_nothing() {
    let door = door();

    let step = door.step(State::Open, Event::Push, |Guard::Free| true);

    assert_eq!(
        step,
        Transition {
            to: State::Open,
            actions: &[]
        }
    );
}

#[test]
fn all_that_is_wrong_is_reported_with_its_place() {
    let text = r#"{
  "initial": "shut",
  "states": {
    "shut": { "on": { "push": [{ "do": ["sing"] }, { "to": "ajar" }] } },
    "open": { "ignore": ["push", "pull"] },
  },
  "extra": 1,
}"#;

    let findings = Door::load("door.jsonc", text).unwrap_err();

    let lines: Vec<String> = findings
        .as_slice()
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        lines,
        [
            "door.jsonc:3:13: state `open` cannot be reached",
            "door.jsonc:4:13: a rule of state `shut` for event `push` can never be taken",
            "door.jsonc:4:13: state `shut` does not handle event `pull`",
            "door.jsonc:4:41: `sing` is not known (known here: ring)",
            "door.jsonc:4:60: `ajar` is not known (known here: shut, open)",
            "door.jsonc:7:3: `extra` is not known (known here: initial, states)",
        ]
    );
}
