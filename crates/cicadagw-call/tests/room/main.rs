//! Too little room at one backend server: who waits and who is refused, replayed by load pattern.

mod replay;

use cicadagw_call::refusal::Prospect;
use cicadagw_unit::time::Span;
use replay::{Kind, Tally, replay};

/// The slots of the backend server.
const SLOTS: u32 = 13;

const MINUTE: Span = Span::seconds(60);

/// A lookup of ordinary priority.
fn lookup() -> Kind {
    Kind {
        name: "lookup",
        account: None,
        account_priority: None,
        priority: 1,
        work_ms: 220,
        target_ms: 800,
        timeout_ms: 2_500,
        deadline_ms: 5_000,
        retries: 2,
        rate: |_| 45,
    }
}

/// A less urgent call with more work and a more distant target.
fn report() -> Kind {
    Kind {
        name: "report",
        priority: 2,
        work_ms: 290,
        target_ms: 2_000,
        timeout_ms: 3_000,
        deadline_ms: 6_000,
        rate: |_| 18,
        ..lookup()
    }
}

/// The most urgent call.
fn transfer() -> Kind {
    Kind {
        name: "transfer",
        priority: 0,
        work_ms: 150,
        target_ms: 500,
        timeout_ms: 2_000,
        deadline_ms: 4_000,
        rate: |_| 27,
        ..lookup()
    }
}

/// Returns the lookups of the client account `account`.
fn of_account(account: &'static str, rate: fn(u64) -> u64) -> Kind {
    Kind {
        account: Some(account),
        rate,
        ..lookup()
    }
}

/// Replays `kinds` with callers that come back when they are asked to.
fn play(duration: Span, kinds: &[Kind]) -> Vec<Tally> {
    replay(SLOTS, duration, kinds, Prospect::return_wait)
}

#[test]
fn more_urgent_calls_are_served_no_less_often_than_more_patient_ones() {
    let tallies = play(MINUTE, &[lookup(), report()]);

    let [urgent, patient] = [tallies[0], tallies[1]].map(Tally::served_permille);
    assert!(urgent >= patient, "{urgent} {patient}");
}

#[test]
fn the_priority_of_the_account_goes_before_that_of_the_policy() {
    let of_priority = |priority, kind: Kind| Kind {
        account: Some("a"),
        account_priority: Some(priority),
        ..kind
    };
    let kinds = [
        of_priority(
            1,
            Kind {
                rate: |_| 25,
                ..lookup()
            },
        ),
        of_priority(
            1,
            Kind {
                name: "urgent",
                priority: 0,
                rate: |_| 25,
                ..lookup()
            },
        ),
        of_priority(
            0,
            Kind {
                name: "vip",
                priority: 2,
                rate: |_| 25,
                ..lookup()
            },
        ),
    ];

    let tallies = play(MINUTE, &kinds);

    let [ordinary, urgent, of_urgent_account] =
        [0, 1, 2].map(|index: usize| tallies[index].served_permille());
    assert!(of_urgent_account >= urgent, "{of_urgent_account} {urgent}");
    assert!(urgent >= 2 * ordinary, "{urgent} {ordinary}");
}

#[test]
fn less_urgent_calls_are_not_starved_by_an_overload_of_more_urgent_ones() {
    let kinds = [
        Kind {
            rate: |_| 120,
            ..transfer()
        },
        Kind {
            rate: |_| 20,
            ..lookup()
        },
    ];

    let tallies = play(MINUTE, &kinds);

    let [urgent, other] = [tallies[0], tallies[1]].map(Tally::served_permille);
    assert!(other * 4 >= urgent, "{urgent} {other}");
    assert!(urgent >= other, "{urgent} {other}");
}

#[test]
fn calls_with_little_work_and_slack_are_not_pushed_out_by_less_urgent_ones() {
    let correction = Kind {
        name: "correction",
        priority: 1,
        work_ms: 180,
        target_ms: 600,
        rate: |_| 14,
        ..transfer()
    };
    let feed = Kind {
        name: "feed",
        work_ms: 55,
        target_ms: 200,
        timeout_ms: 600,
        deadline_ms: 600,
        retries: 0,
        rate: |_| 160,
        ..transfer()
    };

    let tallies = play(MINUTE, &[transfer(), correction, feed]);

    let [transfer, correction, feed] =
        [0, 1, 2].map(|index: usize| tallies[index].served_permille());
    assert!(transfer >= correction, "{transfer} {correction}");
    assert!(feed >= correction, "{feed} {correction}");
}

#[test]
fn a_call_pushed_back_until_it_would_be_late_is_refused_at_once() {
    let tallies = play(MINUTE, &[lookup(), report()]);

    let latest_start = report().target_ms - report().work_ms * 7 / 10;
    let held = tallies[1].held_max_ms;
    assert!(held <= latest_start, "{held} ms");
}

#[test]
fn an_account_that_sends_many_times_its_usual_does_not_push_out_the_others() {
    let surge = |ms| {
        if (20_000..27_000).contains(&ms) {
            45
        } else {
            6
        }
    };
    let kinds = [
        of_account("surging", surge),
        of_account("large", |_| 14),
        of_account("a", |_| 6),
        of_account("b", |_| 6),
        of_account("c", |_| 6),
        of_account("d", |_| 6),
        of_account("e", |_| 6),
    ];

    let tallies = play(Span::seconds(30), &kinds);

    let refused: u64 = tallies[1..].iter().map(|tally| tally.refused).sum();
    let offered: u64 = tallies[1..].iter().map(|tally| tally.offered).sum();
    assert!(refused * 20 < offered, "{refused} of {offered}");
    assert!(tallies[0].served_permille() >= 250, "{:?}", tallies[0]);
}

#[test]
fn a_large_account_is_served_as_often_as_small_ones_when_all_send_more() {
    let burst = |ms| if ms > 20_000 { 8 } else { 2 };
    let kinds = [
        of_account("large", |ms| if ms > 20_000 { 120 } else { 30 }),
        of_account("a", burst),
        of_account("b", burst),
        of_account("c", burst),
        of_account("d", burst),
    ];

    let tallies = play(Span::seconds(30), &kinds);

    let large = tallies[0].served_permille();
    let small = tallies[1..].iter().map(|tally| tally.served_permille());
    let small: u64 = small.sum::<u64>() / 4;
    assert!(large.abs_diff(small) <= 50, "{large} {small}");
}

#[test]
fn callers_refused_in_a_short_peak_come_back_when_there_is_room() {
    let peak = |ms| if ms % 10_000 < 2_000 { 150 } else { 30 };
    let kinds = [Kind {
        rate: peak,
        ..lookup()
    }];

    let spread = replay(SLOTS, MINUTE, &kinds, Prospect::return_wait);
    let together = replay(SLOTS, MINUTE, &kinds, |_, _, _| Span::new(200));

    assert!(spread[0].refused < together[0].refused);
    assert!(spread[0].in_time >= together[0].in_time);
}
