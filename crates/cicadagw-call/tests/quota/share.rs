//! Decisions about calls at one node, with the answers of one owner.

use cicadagw_call::quota::{Answer, Decision, Grant, Refusal, Shares};
use cicadagw_unit::rate::Tokens;
use cicadagw_unit::time::{Span, Timestamp};

use crate::network::account;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::new(milliseconds)
}

/// Returns the decision about a call that arrives in time for its latency target.
fn arrive(shares: &mut Shares, time: u64) -> Decision {
    shares.arrive(at(time), &account(), 1, false)
}

/// Answers the request that is due with `tokens`, and says that the owner has no others.
fn answer(shares: &mut Shares, time: u64, tokens: u32) {
    let request = shares.requests(at(time), &account()).remove(0);
    let answer = Answer::Granted {
        is_dry: true,
        pace: Span::new(100),
        tokens: Tokens::new(tokens),
    };
    let grant = Grant {
        account: account(),
        answer,
        number: request.ask.number,
    };
    shares.grant(at(time + 1), &grant);
}

#[test]
fn token_that_is_given_back_is_spent_again() {
    let mut shares = Shares::new(0);
    arrive(&mut shares, 0);
    answer(&mut shares, 0, 1);
    let Decision::Taken(ticket) = shares.wait(at(1), &account(), at(0)) else {
        panic!("the token was not taken");
    };

    shares.give_back(at(100), &account(), ticket);

    let decision = arrive(&mut shares, 101);
    assert!(matches!(decision, Decision::Taken(_)), "{decision:?}");
}

#[test]
fn call_is_refused_at_once_while_no_owner_answers() {
    let mut shares = Shares::new(0);
    assert_eq!(arrive(&mut shares, 0), Decision::Wait);
    shares.requests(at(0), &account());
    let first = shares.wait(at(300), &account(), at(0));

    let second = arrive(&mut shares, 310);

    let refused = Decision::Refused {
        refusal: Refusal::Unknown,
        retry_in: None,
    };
    assert_eq!([first, second], [refused, refused]);
    assert_eq!(shares.counts().silent, 1);
}

#[test]
fn callers_over_the_quota_are_asked_to_come_back_one_after_the_other() {
    let mut shares = Shares::new(0);
    (0..4).for_each(|time| assert_eq!(arrive(&mut shares, time), Decision::Wait));
    answer(&mut shares, 4, 4);
    for time in 0..4 {
        let decision = shares.wait(at(5), &account(), at(time));
        assert!(matches!(decision, Decision::Taken(_)), "{decision:?}");
    }
    assert_eq!(arrive(&mut shares, 110), Decision::Wait);
    answer(&mut shares, 110, 0);
    let first = shares.wait(at(112), &account(), at(110));
    assert!(matches!(first, Decision::Refused { .. }), "{first:?}");

    let waits: Vec<_> = (113..116)
        .map(|time| match arrive(&mut shares, time) {
            Decision::Refused { retry_in, .. } => retry_in.unwrap(),
            decision => panic!("{decision:?}"),
        })
        .collect();

    assert!(waits.windows(2).all(|pair| pair[0] < pair[1]), "{waits:?}");
}

#[test]
fn late_calls_leave_the_tokens_of_a_short_account_to_calls_in_time() {
    let mut shares = Shares::new(0);
    (0..20).for_each(|time| assert_eq!(arrive(&mut shares, time), Decision::Wait));
    answer(&mut shares, 20, 0);
    for time in 0..20 {
        let decision = shares.wait(at(21), &account(), at(time));
        assert!(matches!(decision, Decision::Refused { .. }), "{decision:?}");
    }
    answer(&mut shares, 200, 1);

    let late = shares.arrive(at(202), &account(), 1, true);
    let in_time = arrive(&mut shares, 203);

    assert!(matches!(late, Decision::Refused { .. }), "{late:?}");
    assert!(matches!(in_time, Decision::Taken(_)), "{in_time:?}");
}

#[test]
fn what_was_held_is_dropped_when_the_number_of_parts_changes() {
    let mut shares = Shares::new(0);
    arrive(&mut shares, 0);
    arrive(&mut shares, 0);
    answer(&mut shares, 0, 2);
    shares.wait(at(1), &account(), at(0));
    shares.leave(&account());

    let decision = shares.arrive(at(2), &account(), 2, false);

    // The parts have other owners now, which have not granted these tokens.
    assert_eq!(decision, Decision::Wait);
}

#[test]
fn a_token_of_a_part_as_it_was_before_is_not_given_back() {
    let mut shares = Shares::new(0);
    arrive(&mut shares, 0);
    answer(&mut shares, 0, 1);
    let Decision::Taken(ticket) = shares.wait(at(1), &account(), at(0)) else {
        panic!("the token was not taken");
    };
    shares.arrive(at(2), &account(), 2, false);
    answer(&mut shares, 3, 1);
    shares.wait(at(4), &account(), at(2));

    shares.give_back(at(5), &account(), ticket);

    assert_eq!(shares.counts().returned, 0);
}

#[test]
fn no_more_tokens_are_taken_from_an_answer_than_were_asked_for() {
    let mut shares = Shares::new(0);
    arrive(&mut shares, 0);

    answer(&mut shares, 0, 50);

    assert_eq!(shares.counts().granted, 1);
    let first = shares.wait(at(1), &account(), at(0));
    let second = arrive(&mut shares, 2);
    assert!(matches!(first, Decision::Taken(_)), "{first:?}");
    // The owner has said that it has no others.
    assert!(matches!(second, Decision::Refused { .. }), "{second:?}");
}
