//! A retry of a refused call is recognized by its digest and its deadline.

use cicadagw_call::refusal::History;
use cicadagw_unit::time::Timestamp;

const DIGEST: u64 = 7;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::new(milliseconds)
}

/// Returns a history of one refused call that was made for the first time at 100 ms and has a
/// deadline of 4,000 ms.
fn history() -> History {
    let mut history = History::default();
    history.record(DIGEST, at(4_000), at(100));
    history
}

#[test]
fn a_retry_keeps_the_time_of_its_first_arrival() {
    let mut history = history();

    let first = history.take(at(320), DIGEST, at(4_020));

    assert_eq!(first, Some(at(100)));
}

#[test]
fn each_refusal_matches_one_retry() {
    let mut history = history();
    history.take(at(320), DIGEST, at(4_000));

    let again = history.take(at(640), DIGEST, at(4_000));

    assert_eq!(again, None);
}

#[test]
fn a_call_with_another_digest_is_not_a_retry() {
    let mut history = history();

    let first = history.take(at(320), DIGEST + 1, at(4_000));

    assert_eq!(first, None);
}

#[test]
fn a_call_with_another_deadline_is_not_a_retry() {
    let mut history = history();

    let later = history.take(at(320), DIGEST, at(4_320));
    let sooner = history.take(at(320), DIGEST, at(3_680));

    assert_eq!((later, sooner), (None, None));
}

#[test]
fn the_oldest_refused_call_is_evicted_from_a_full_history() {
    let mut history = history();
    for digest in 100..3_000 {
        history.record(digest, at(4_000), at(200));
    }

    let oldest = history.take(at(320), DIGEST, at(4_000));
    let newest = history.take(at(320), 2_999, at(4_000));

    assert_eq!((oldest, newest), (None, Some(at(200))));
}
