//! Of operators who change the same thing at one moment, one wins and the others are told.

use cicadagw_dev::platform::Change;

use crate::shell::{STORE, Shell};

/// How many operators there are.
const OPERATORS: usize = 6;

/// The exit code of a change that came into force.
const ACCEPTED: i32 = 0;

/// The exit code of a change that another one came before.
const CONFLICT: i32 = 3;

/// A platform so slow that all operators read the same head.
fn slow() -> Shell {
    let shell = Shell::with_shop();
    shell.platform.control(Change {
        delay_ms: Some(50),
        ..Change::default()
    });
    shell
}

/// How many operators were told that they won, and how many that another one did.
fn counts(codes: &[i32]) -> (usize, usize) {
    let count = |wanted| codes.iter().filter(|code| **code == wanted).count();
    (count(ACCEPTED), count(CONFLICT))
}

#[test]
fn one_of_many_configurations_from_one_version_wins() {
    let shell = slow();
    let lines: Vec<String> = (0..OPERATORS)
        .map(|index| format!("--operator o{index} apply {STORE} --base 1 --change change-{index}"))
        .collect();

    let codes = shell.run_at_once(&lines);

    assert_eq!(counts(&codes), (1, OPERATORS - 1), "{codes:?}");
}

#[test]
fn the_same_change_sent_many_times_takes_effect_once() {
    let mut shell = slow();
    let line = format!("--operator asha apply {STORE} --change two");
    let lines = vec![line; OPERATORS];

    let codes = shell.run_at_once(&lines);
    shell.run("history");

    assert_eq!(counts(&codes), (OPERATORS, 0), "{codes:?}");
    insta::assert_snapshot!(shell.session());
}
