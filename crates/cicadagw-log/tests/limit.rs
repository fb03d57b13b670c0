//! Repeats within a second are counted and summed up; other lines pass.

use cicadagw_log::limit::{BURST, KEYS_MAX, Key, Limiter, Summary, WINDOW};
use cicadagw_unit::time::{Span, Timestamp};

fn key(message: &str) -> Key {
    Key {
        target: "link".into(),
        message: message.into(),
    }
}

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

    let verdict = limiter.admit(Timestamp::new(1), key("lost the parent"));

    assert!(verdict.write);
}

#[test]
fn lines_above_the_burst_are_held_back() {
    let mut limiter = limiter_after(BURST, Timestamp::new(0));

    let verdict = limiter.admit(Timestamp::new(999), key("lost the parent"));

    assert!(!verdict.write);
    assert!(verdict.summaries.is_empty());
}

#[test]
fn another_line_is_not_held_back() {
    let mut limiter = limiter_after(BURST + 7, Timestamp::new(0));

    let verdict = limiter.admit(Timestamp::new(1), key("found a parent"));

    assert!(verdict.write);
}

#[test]
fn the_first_line_after_the_window_sums_up() {
    let mut limiter = limiter_after(BURST + 7, Timestamp::new(0));

    let verdict = limiter.admit(Timestamp::new(0).after(WINDOW), key("found a parent"));

    let summary = Summary {
        key: key("lost the parent"),
        repeats: 7,
    };
    assert_eq!(verdict.summaries.as_slice(), [summary]);
    assert!(verdict.write);
}

#[test]
fn a_new_window_begins_with_a_new_count() {
    let mut limiter = limiter_after(BURST + 7, Timestamp::new(0));

    let verdict = limiter.admit(Timestamp::new(0).after(WINDOW), key("lost the parent"));

    assert!(verdict.write);
}

#[test]
fn when_too_many_keys_are_counted_the_oldest_is_summed_up() {
    let mut limiter = limiter_after(BURST + 1, Timestamp::new(0));
    for number in 1..KEYS_MAX {
        limiter.admit(Timestamp::new(1), key(&number.to_string()));
    }

    let verdict = limiter.admit(Timestamp::new(2), key("one more"));

    assert_eq!(verdict.summaries.len(), 1);
    assert_eq!(verdict.summaries[0].repeats, 1);
}

#[test]
fn draining_returns_what_was_held_back_once() {
    let mut limiter = limiter_after(BURST + 2, Timestamp::new(0).after(Span::seconds(9)));

    let first = limiter.drain();
    let second = limiter.drain();

    assert_eq!(first[0].repeats, 2);
    assert!(second.is_empty());
}
