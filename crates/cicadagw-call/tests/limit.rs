//! The rate limit that a backend server names is held, by priority, and ends with the first response
//! that does not name it.

use cicadagw_call::admission::{Constraints, Decision};
use cicadagw_call::limit::{Limit, State, chart};
use cicadagw_call::{Admission, Returns};
use cicadagw_unit::rate::{CallRate, Priority};
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::{Span, Timestamp};
use quickcheck::{Gen, QuickCheck};

/// The window over which the platform counts calls, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// The seed of the generated test cases, and their size.
const SEED: u64 = 24;
const SIZE: usize = 200;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::new(milliseconds)
}

fn rate(text: &str) -> CallRate {
    text.parse().unwrap()
}

/// Returns a limit that a response has named at time 0.
fn limited(text: &str) -> Limit {
    let mut limit = Limit::default();
    limit.observe(at(0), Some(rate(text)));
    limit
}

/// Returns when calls of `priority` are let through, of one each millisecond until `end`.
fn let_through(limit: &mut Limit, priority: u8, end: u64) -> Vec<u64> {
    let times = 1..end;
    times
        .filter(|&time| limit.take(at(time), Priority::new(priority), 0).is_ok())
        .collect()
}

/// Returns the largest number of `times` in a window.
fn most_in_window(times: &[u64]) -> usize {
    let in_window = |&start: &u64| {
        let window = start..start + WINDOW_MS;
        times.iter().filter(|time| window.contains(time)).count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

fn constraints() -> Constraints {
    Constraints {
        account: None,
        policy: "wide".parse().unwrap(),
        concurrency: Slots::new(100),
        queue: Slots::new(100),
        priority: Priority::default(),
        policy_priority: Priority::default(),
        soft_deadline: None,
        target_latency: None,
        link_backlog: Span::new(0),
    }
}

#[test]
fn chart_is_valid() {
    assert_eq!(chart().initial(), State::Unknown);
}

#[test]
fn no_window_has_more_calls_than_the_named_limit_allows() {
    for text in ["0", "0.5", "7.3", "29.7", "400"] {
        let mut limit = limited(text);

        let times = let_through(&mut limit, 0, 20_000);

        // The platform allows one and a half times the limit and five calls more.
        let allowed = rate(text).milli() * WINDOW_MS * 3 / 2 / 1_000_000 + 5;
        let most = most_in_window(&times) as u64;
        assert!(
            most <= allowed,
            "{most} calls at {text}/s, {allowed} are allowed"
        );
    }
}

#[test]
fn offered_load_beyond_the_limit_uses_all_of_it() {
    let mut limit = limited("29.7");

    let times = let_through(&mut limit, 0, 20_000);

    assert!(times.len() >= 590, "{} calls in 20 s", times.len());
}

#[test]
fn a_limit_that_falls_while_it_holds_applies_at_once() {
    let mut limit = limited("100");
    let_through(&mut limit, 0, 5_000);

    limit.observe(at(5_000), Some(rate("4")));
    let times = let_through(&mut limit, 0, 9_000);
    let after: Vec<u64> = times.into_iter().filter(|&time| time >= 5_000).collect();

    assert!(after.len() <= 4 * 4 + 2, "{} calls", after.len());
}

#[test]
fn the_limit_ends_with_the_first_response_that_does_not_name_it() {
    let mut limit = limited("1");
    let_through(&mut limit, 0, 100);

    let has_changed = limit.observe(at(200), None);

    assert!(has_changed);
    assert_eq!(limit.rate(), None);
    assert!(limit.take(at(200), Priority::default(), 50).is_ok());
}

#[test]
fn a_limit_of_zero_still_lets_a_call_through_that_can_learn_its_end() {
    let mut limit = limited("0");

    let times = let_through(&mut limit, 0, 20_000);

    assert!((3..=4).contains(&times.len()), "{times:?}");
}

#[test]
fn urgent_calls_get_what_the_limit_allows_before_others() {
    let mut limit = limited("20");
    let (mut urgent, mut others) = (0, 0);

    for time in 1..10_000 {
        others += u32::from(limit.take(at(time), Priority::new(2), 0).is_ok());
        // Fifteen urgent calls per second leave room for others.
        if time % 66 == 0 {
            urgent += u32::from(limit.take(at(time), Priority::new(0), 0).is_ok());
        }
    }

    assert_eq!(urgent, 151);
    assert!(others >= 40, "{others} other calls");
}

#[test]
fn a_restarted_node_makes_few_calls_until_a_response_tells_whether_a_limit_applies() {
    let mut limit = Limit::forgotten(at(0));

    let few = limit.take(at(10), Priority::default(), 3);
    let many = limit.take(at(10), Priority::default(), 4);
    limit.observe(at(90), None);
    let known = limit.take(at(100), Priority::default(), 50);

    assert!(few.is_ok());
    assert!(many.is_err());
    assert!(known.is_ok());
}

#[test]
fn a_refused_call_is_told_when_the_limit_allows_it() {
    let mut limit = limited("10");
    let_through(&mut limit, 0, 1_000);
    limit.take(at(1_000), Priority::default(), 0).ok();

    let wait = limit.take(at(1_000), Priority::default(), 0).unwrap_err();
    let then = at(1_000).after(wait);

    assert!(wait <= Span::new(100), "{wait}");
    assert!(limit.take(then, Priority::default(), 0).is_ok());
}

#[test]
fn admission_refuses_a_call_beyond_the_limit_although_a_slot_is_free() {
    let mut admission = Admission::new(Slots::new(10));
    admission.observe_limit(at(0), Some(rate("2")));

    let first = admission.offer(at(600), at(9_000), constraints()).1;
    let second = admission.offer(at(601), at(9_000), constraints()).1;

    assert_eq!(first, Decision::Start);
    assert!(matches!(second, Decision::Limited { .. }), "{second:?}");
}

#[test]
fn callers_of_a_limited_service_come_back_one_after_the_other() {
    let mut returns = Returns::default();

    let waits: Vec<u64> = (0..30)
        .map(|_| returns.next(at(5_000), rate("10")).get())
        .collect();

    assert_eq!(waits[..4], [200, 300, 400, 500]);
    assert_eq!(waits[29], 2_000);
}

#[test]
fn no_window_exceeds_the_limit_whatever_is_named_and_offered() {
    fn property(steps: Vec<(u16, u8)>) -> bool {
        let mut limit = Limit::default();
        let mut now = 0;
        let mut times = Vec::new();
        let mut highest = 0;
        for (named, gap) in steps {
            let named = CallRate::from_milli(u64::from(named) * 10);
            highest = highest.max(named.milli());
            limit.observe(at(now), Some(named));
            for _ in 0..10 {
                now += u64::from(gap);
                let is_let_through = limit.take(at(now), Priority::default(), 0).is_ok();
                times.extend(is_let_through.then_some(now));
            }
        }
        let allowed = highest * WINDOW_MS * 3 / 2 / 1_000_000 + 5;
        most_in_window(&times) as u64 <= allowed
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .quickcheck(property as fn(Vec<(u16, u8)>) -> bool);
}

#[test]
fn a_rate_is_a_decimal_number_and_nothing_else() {
    for (text, milli) in [
        ("29.7", 29_700),
        ("30", 30_000),
        ("0.1256", 125),
        ("99999999999", 1_000_000_000),
    ] {
        assert_eq!(rate(text).milli(), milli, "{text}");
    }
    for text in [
        "", ".", "-1", "+1", "1e3", "NaN", "inf", "1.", ".5", "1,5", "0x10", " 1",
    ] {
        assert!(text.parse::<CallRate>().is_err(), "{text:?}");
    }
    for milli in [0, 5, 50, 500, 29_700, 1_000_000_000] {
        let rate = CallRate::from_milli(milli);
        assert_eq!(rate.to_string().parse(), Ok(rate));
    }
}

/// The admission control of a backend server with one slot and a limit of six calls a second, with a
/// call that runs and a queue of one call. `deadline` is that of the queued call.
fn with_queued_call(deadline: u64) -> Admission {
    let mut admission = Admission::with_limit(Slots::new(1), limited("6"));
    admission.offer(at(1_000), at(9_000), one_queued());
    let (_, decision) = admission.offer(at(1_000), at(deadline), one_queued());
    assert_eq!(decision, Decision::Queue { displaced: None });
    admission
}

fn one_queued() -> Constraints {
    Constraints {
        queue: Slots::new(1),
        ..constraints()
    }
}

#[test]
fn a_call_that_expires_in_the_queue_gives_its_token_back() {
    let mut admission = with_queued_call(1_100);

    let release = admission.abandon(at(1_101), &constraints().policy, Span::new(0));
    let started: Vec<_> = (0..2)
        .map(|_| {
            let (_, decision) = admission.offer(at(1_101), at(9_000), one_queued());
            admission.abandon(at(1_101), &constraints().policy, Span::new(0));
            decision
        })
        .collect();

    assert_eq!(release.expired.len(), 1);
    assert_eq!(started, [Decision::Start, Decision::Start]);
}

#[test]
fn a_displaced_call_gives_its_token_back() {
    let mut admission = with_queued_call(9_000);

    let (_, decision) = admission.offer(at(1_050), at(2_000), one_queued());
    admission.close();
    admission.abandon(at(1_050), &constraints().policy, Span::new(0));
    let (_, next) = admission.offer(at(1_050), at(9_000), one_queued());

    assert!(
        matches!(decision, Decision::Queue { displaced: Some(_) }),
        "{decision:?}"
    );
    assert_eq!(next, Decision::Start);
}
