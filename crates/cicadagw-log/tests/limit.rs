//! Repeated lines within a window are suppressed and reported; other lines are written.

use cicadagw_log::limit::{BURST, KEYS_MAX, Key, Limiter, Summary, WINDOW};
use cicadagw_unit::time::{Span, Timestamp};

fn key(message: &str) -> Key {
    Key {
        target: "link".into(),
        message: message.into(),
    }
}

/// Returns a limiter that has counted `lines` equal lines at `at`.
fn limiter_after(lines: u32, at: Timestamp) -> Limiter {
    let mut limiter = Limiter::default();
    for _ in 0..lines {
        limiter.admit(at, key("lost the parent"));
    }
    limiter
}

#[test]
fn lines_up_to_the_burst_are_written() {
    let mut limiter = limiter_after(BURST - 1, Timestamp::new(0));

    let decision = limiter.admit(Timestamp::new(1), key("lost the parent"));

    assert!(decision.write);
}

#[test]
fn lines_above_the_burst_are_suppressed() {
    let mut limiter = limiter_after(BURST, Timestamp::new(0));

    let decision = limiter.admit(Timestamp::new(999), key("lost the parent"));

    assert!(!decision.write);
    assert!(decision.summaries.is_empty());
}

#[test]
fn a_line_with_another_key_is_not_suppressed() {
    let mut limiter = limiter_after(BURST + 7, Timestamp::new(0));

    let decision = limiter.admit(Timestamp::new(1), key("found a parent"));

    assert!(decision.write);
}

#[test]
fn the_first_line_after_a_window_reports_its_suppressed_lines() {
    let mut limiter = limiter_after(BURST + 7, Timestamp::new(0));

    let decision = limiter.admit(Timestamp::new(0).after(WINDOW), key("found a parent"));

    let summary = Summary {
        key: key("lost the parent"),
        repeats: 7,
    };
    assert_eq!(decision.summaries.as_slice(), [summary]);
    assert!(decision.write);
}

#[test]
fn a_new_window_starts_counting_from_zero() {
    let mut limiter = limiter_after(BURST + 7, Timestamp::new(0));

    let decision = limiter.admit(Timestamp::new(0).after(WINDOW), key("lost the parent"));

    assert!(decision.write);
}

#[test]
fn at_the_limit_of_keys_the_oldest_window_is_closed_and_reported() {
    let mut limiter = limiter_after(BURST + 1, Timestamp::new(0));
    for number in 1..KEYS_MAX {
        limiter.admit(Timestamp::new(1), key(&number.to_string()));
    }

    let decision = limiter.admit(Timestamp::new(2), key("one more"));

    assert_eq!(decision.summaries.len(), 1);
    assert_eq!(decision.summaries[0].repeats, 1);
}

#[test]
fn draining_reports_suppressed_lines_once() {
    let mut limiter = limiter_after(BURST + 2, Timestamp::new(0).after(Span::seconds(9)));

    let first = limiter.drain();
    let second = limiter.drain();

    assert_eq!(first[0].repeats, 2);
    assert!(second.is_empty());
}
