//! A chart, which is a state machine defined in a file, performs the transitions of its file, and an
//! invalid file is rejected with all findings at their locations.

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
  // A door with a lock.
  "initial": "shut",
  "states": {
    "shut": { "on": { "push": [{ "if": "free", "do": ["ring"], "to": "open" }] }, "ignore": ["pull"] },
    "open": { "on": { "pull": [{ "to": "shut" }] }, "ignore": ["push"] },
  },
}"#;

fn door() -> Door {
    Chart::load("door.jsonc", VALID).unwrap()
}

// A rule is an entry in the list of an event: a guard, actions, and the next state, each optional.
#[test]
fn a_rule_applies_when_its_guard_holds() {
    let door = door();

    let transition = door.step(door.initial(), Event::Push, |Guard::Free| true);

    assert_eq!(
        transition,
        Transition {
            to: State::Open,
            actions: &[Action::Ring]
        }
    );
}

#[test]
fn a_rule_does_not_apply_when_its_guard_fails() {
    let door = door();

    let transition = door.step(State::Shut, Event::Push, |Guard::Free| false);

    assert_eq!(
        transition,
        Transition {
            to: State::Shut,
            actions: &[]
        }
    );
}

#[test]
fn an_ignored_event_keeps_the_state_without_actions() {
    let door = door();

    let transition = door.step(State::Open, Event::Push, |Guard::Free| true);

    assert_eq!(
        transition,
        Transition {
            to: State::Open,
            actions: &[]
        }
    );
}

#[test]
fn all_findings_are_reported_with_their_location() {
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
            "door.jsonc:3:13: state `open` is unreachable",
            "door.jsonc:4:13: a rule of state `shut` for event `push` never applies",
            "door.jsonc:4:13: state `shut` does not handle event `pull`",
            "door.jsonc:4:41: unknown name `sing` (known names: ring)",
            "door.jsonc:4:60: unknown name `ajar` (known names: shut, open)",
            "door.jsonc:7:3: unknown key `extra` (known keys: initial, states)",
        ]
    );
}
