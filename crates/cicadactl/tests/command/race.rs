//! Of several concurrent changes of one version, one is accepted and the others are conflicts.

use cicadagw_dev::platform::Change;

use crate::shell::{CHANGED_CONFIG, Shell};

/// How many operators run a command at once.
const OPERATORS: usize = 6;

/// The exit code of an accepted change.
const ACCEPTED: i32 = 0;

/// The exit code of a change that lost to another one.
const CONFLICT: i32 = 3;

/// Returns a platform that is slow enough for all operators to read the same head.
fn slow_platform() -> Shell {
    let shell = Shell::with_initial_config();
    shell.platform.control(Change {
        delay_ms: Some(50),
        ..Change::default()
    });
    shell
}

/// Returns how many changes were accepted and how many were conflicts.
fn counts(codes: &[i32]) -> (usize, usize) {
    let count = |wanted| codes.iter().filter(|code| **code == wanted).count();
    (count(ACCEPTED), count(CONFLICT))
}

#[test]
fn of_many_changes_based_on_one_version_one_is_accepted() {
    let shell = slow_platform();
    let lines: Vec<String> = (0..OPERATORS)
        .map(|index| {
            format!("--operator o{index} apply {CHANGED_CONFIG} --base 1 --change change-{index}")
        })
        .collect();

    let codes = shell.run_at_once(&lines);

    assert_eq!(counts(&codes), (1, OPERATORS - 1), "{codes:?}");
}

#[test]
fn the_same_change_sent_many_times_takes_effect_once() {
    let mut shell = slow_platform();
    let line = format!("--operator asha apply {CHANGED_CONFIG} --change two");
    let lines = vec![line; OPERATORS];

    let codes = shell.run_at_once(&lines);
    shell.run("history");

    assert_eq!(counts(&codes), (OPERATORS, 0), "{codes:?}");
    insta::assert_snapshot!(shell.session());
}
