//! Answers take the link of a host one after the other.

use std::time::Duration;

use cicadagw_call::pacing::Link;
use cicadagw_unit::rate::Throughput;

/// What a link that carries 1,000 bytes a second lets out in a second.
const SECOND: u64 = 930;

fn link() -> Link {
    Link::new(Throughput::new(1_000))
}

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn parts_go_out_at_the_rate_of_the_link() {
    let mut turn = link().reserve(at(0), 2 * SECOND);

    let times = [
        turn.schedule(SECOND),
        turn.schedule(SECOND / 2),
        turn.schedule(1),
    ];

    assert_eq!(times, [at(0), at(1_000), at(1_500)]);
}

#[test]
fn an_answer_waits_until_those_before_it_are_out() {
    let mut link = link();
    let mut first = link.reserve(at(0), 2 * SECOND);

    let mut second = link.reserve(at(100), SECOND);

    first.schedule(SECOND);
    assert_eq!(second.schedule(1), at(2_000));
    assert_eq!(first.schedule(1), at(1_000));
}

#[test]
fn what_does_not_wait_takes_its_time_on_the_link_all_the_same() {
    let mut link = link();
    link.reserve(at(0), SECOND / 2);

    let mut next = link.reserve(at(100), SECOND);

    assert_eq!(next.schedule(1), at(500));
}

#[test]
fn an_idle_link_saves_nothing_up() {
    let mut link = link();
    link.reserve(at(0), SECOND);

    let mut late = link.reserve(at(9_000), SECOND);

    assert_eq!(late.schedule(1), at(9_000));
}
