//! A retry of a refused call is recognized by its digest and its deadline.

use cicadagw_call::Reason;
use cicadagw_call::refusal::{History, Identity, Prospect, retry_after};
use cicadagw_config::account::KeyDigest;
use cicadagw_unit::time::{Span, Timestamp};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const DIGEST: u64 = 7;

/// The seed of the generator.
const SEED: u64 = 7;

/// The deadline of the refused call, in milliseconds.
const DEADLINE: u64 = 4_000;

/// A difference between deadlines within the tolerance of 60 ms, and one beyond it.
const WITHIN_TOLERANCE: u64 = 20;
const BEYOND_TOLERANCE: u64 = 320;

/// When the refused call was made for the first time, and when it is retried, in milliseconds.
const FIRST_ARRIVAL: u64 = 100;
const RETRY_AT: u64 = 320;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::new(milliseconds)
}

/// Returns a history of one refused call, made for the first time at [`FIRST_ARRIVAL`].
fn history() -> History {
    let mut history = History::default();
    history.record(DIGEST, at(DEADLINE), at(FIRST_ARRIVAL));
    history
}

#[test]
fn a_retry_keeps_the_time_of_its_first_arrival() {
    let mut history = history();

    let first_arrival = history.take(at(RETRY_AT), DIGEST, at(DEADLINE + WITHIN_TOLERANCE));

    assert_eq!(first_arrival, Some(at(FIRST_ARRIVAL)));
}

#[test]
fn each_refusal_matches_one_retry() {
    let mut history = history();
    history.take(at(RETRY_AT), DIGEST, at(DEADLINE));

    let again = history.take(at(2 * RETRY_AT), DIGEST, at(DEADLINE));

    assert_eq!(again, None);
}

#[test]
fn a_call_with_another_digest_is_not_a_retry() {
    let mut history = history();

    let first_arrival = history.take(at(RETRY_AT), DIGEST + 1, at(DEADLINE));

    assert_eq!(first_arrival, None);
}

#[test]
fn a_call_with_another_deadline_is_not_a_retry() {
    let mut history = history();

    let later = history.take(at(RETRY_AT), DIGEST, at(DEADLINE + BEYOND_TOLERANCE));
    let sooner = history.take(at(RETRY_AT), DIGEST, at(DEADLINE - BEYOND_TOLERANCE));

    assert_eq!((later, sooner), (None, None));
}

#[test]
fn the_oldest_refused_call_is_evicted_from_a_full_history() {
    let mut history = history();
    for digest in 100..3_000 {
        history.record(digest, at(DEADLINE), at(200));
    }

    let oldest = history.take(at(RETRY_AT), DIGEST, at(DEADLINE));
    let newest = history.take(at(RETRY_AT), 2_999, at(DEADLINE));

    assert_eq!((oldest, newest), (None, Some(at(200))));
}

#[test]
fn a_caller_that_is_shed_comes_back_after_the_time_of_a_call() {
    for uptime in [Span::new(100), Span::seconds(100)] {
        let wait = retry_after(Reason::Shed, uptime, 7);

        assert_eq!(wait, Span::new(200));
    }
}

#[test]
fn callers_of_a_node_that_knows_nothing_yet_come_back_when_it_does_and_not_together() {
    let mut arrivals = Vec::new();

    // A hundred calls arrive in the first half second after all nodes have restarted.
    for call in 0..100 {
        let uptime = Span::new(call * 5);
        let random = call.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let wait = retry_after(Reason::NoEndpoint, uptime, random);
        arrivals.push(uptime.plus(wait).get());
    }

    arrivals.sort_unstable();
    assert!(
        arrivals[0] >= 800,
        "the first comes back after {} ms",
        arrivals[0]
    );
    let together = arrivals.chunk_by(|left, right| left / 100 == right / 100);
    let most = together.map(<[u64]>::len).max();
    assert!(most < Some(40), "{most:?} come back within 100 ms");
}

#[test]
fn a_node_that_has_run_for_long_asks_for_a_short_wait() {
    let wait = retry_after(Reason::NoEndpoint, Span::seconds(60), 7);

    assert_eq!(wait, Span::new(200));
}

/// Returns when a hundred callers that are refused together at `now` come back.
fn returns(prospect: &Prospect, now: u64) -> Vec<u64> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut returns: Vec<u64> = (0..100)
        .map(|_| prospect.return_wait(at(now), rng.random()).get() + now)
        .collect();
    returns.sort_unstable();
    returns
}

fn prospect() -> Prospect {
    Prospect {
        has_returned: false,
        soft_deadline: Some(at(800)),
        deadline: Some(at(5_000)),
        work: Span::new(200),
    }
}

#[test]
fn callers_that_can_still_be_in_time_come_back_while_they_can_and_not_together() {
    let returns = returns(&prospect(), 0);

    let in_time = prospect().soft_deadline.unwrap().before(prospect().work);
    assert!(returns[99] < in_time.get(), "{}", returns[99]);
    let together = returns.chunk_by(|left, right| left / 20 == right / 20);
    let most = together.map(<[u64]>::len).max();
    assert!(most < Some(30), "{most:?} come back within 20 ms");
}

#[test]
fn late_callers_wait_longer_but_no_more_than_they_heed() {
    let now = 700;

    let returns = returns(&prospect(), now);

    let left = prospect().deadline.unwrap().since(at(now)).get();
    assert!(returns[0] >= now + left / 6, "{}", returns[0]);
    assert!(returns[99] <= now + left / 3, "{}", returns[99]);
}

#[test]
fn callers_that_are_refused_again_wait_until_the_peak_may_be_over() {
    let prospect = Prospect {
        has_returned: true,
        ..prospect()
    };

    let returns = returns(&prospect, 300);

    let left = prospect.deadline.unwrap().since(at(300)).get();
    assert!(returns[0] >= 300 + left / 6, "{}", returns[0]);
    assert!(returns[99] <= 300 + left / 3, "{}", returns[99]);
}

#[test]
fn callers_without_a_target_come_back_after_the_time_of_a_call() {
    let prospect = Prospect {
        soft_deadline: None,
        ..prospect()
    };

    assert_eq!(prospect.return_wait(at(0), 7), Span::new(200));
}

#[test]
fn call_of_another_account_is_no_retry() {
    let digest = |key: Option<&[u8]>| {
        let key = key.map(KeyDigest::of);
        let identity = Identity {
            host: "shop.example",
            key: key.as_ref(),
            method: b"GET",
            target: b"/orders",
        };
        identity.digest()
    };

    assert_eq!(digest(Some(b"north")), digest(Some(b"north")));
    assert_ne!(digest(Some(b"north")), digest(Some(b"south")));
    assert_ne!(digest(Some(b"north")), digest(None));
}
