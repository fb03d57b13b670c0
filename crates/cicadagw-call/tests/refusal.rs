//! A refused call that comes back is known by what it asks for and by its deadline.

use cicadagw_call::refusal::History;
use cicadagw_unit::time::Timestamp;

const DIGEST: u64 = 7;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::new(milliseconds)
}

/// A memory of one call, made first at 100 ms with a deadline of 4,000 ms.
fn memory() -> History {
    let mut memory = History::default();
    memory.record(DIGEST, at(4_000), at(100));
    memory
}

#[test]
fn a_call_that_comes_back_was_made_when_it_came_first() {
    let mut memory = memory();

    let first = memory.take(at(320), DIGEST, at(4_020));

    assert_eq!(first, Some(at(100)));
}

#[test]
fn it_comes_back_once_for_each_refusal() {
    let mut memory = memory();
    memory.take(at(320), DIGEST, at(4_000));

    let again = memory.take(at(640), DIGEST, at(4_000));

    assert_eq!(again, None);
}

#[test]
fn a_call_for_something_else_is_another_call() {
    let mut memory = memory();

    let first = memory.take(at(320), DIGEST + 1, at(4_000));

    assert_eq!(first, None);
}

#[test]
fn a_call_with_another_deadline_is_another_call() {
    let mut memory = memory();

    let later = memory.take(at(320), DIGEST, at(4_320));
    let sooner = memory.take(at(320), DIGEST, at(3_680));

    assert_eq!((later, sooner), (None, None));
}

#[test]
fn the_oldest_of_many_refused_calls_is_forgotten() {
    let mut memory = memory();
    for digest in 100..3_000 {
        memory.record(digest, at(4_000), at(200));
    }

    let oldest = memory.take(at(320), DIGEST, at(4_000));
    let newest = memory.take(at(320), 2_999, at(4_000));

    assert_eq!((oldest, newest), (None, Some(at(200))));
}
