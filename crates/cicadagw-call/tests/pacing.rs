//! Large responses share the network link of a host one after the other.

use std::time::Duration;

use cicadagw_call::pacing::{Link, RESERVED_MAX};
use cicadagw_unit::rate::Throughput;
use cicadagw_unit::time::Span;

/// How many bytes a paced link with a rate of 1,000 bytes per second sends in a second.
const BYTES_PER_SECOND: u64 = 930;

fn link() -> Link {
    Link::new(Throughput::new(1_000))
}

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn chunks_are_sent_at_the_rate_of_the_link() {
    let mut reservation = link().reserve(at(0), 2 * BYTES_PER_SECOND);

    let times = [
        reservation.schedule(BYTES_PER_SECOND),
        reservation.schedule(BYTES_PER_SECOND / 2),
        reservation.schedule(1),
    ];

    assert_eq!(times, [at(0), at(1_000), at(1_500)]);
}

#[test]
fn a_response_waits_for_earlier_reservations() {
    let mut link = link();
    let mut first = link.reserve(at(0), 2 * BYTES_PER_SECOND);

    let mut second = link.reserve(at(100), BYTES_PER_SECOND);

    first.schedule(BYTES_PER_SECOND);
    assert_eq!(second.schedule(1), at(2_000));
    assert_eq!(first.schedule(1), at(1_000));
}

#[test]
fn an_unpaced_response_delays_later_reservations() {
    let mut link = link();
    link.reserve(at(0), BYTES_PER_SECOND / 2);

    let mut next = link.reserve(at(100), BYTES_PER_SECOND);

    assert_eq!(next.schedule(1), at(500));
}

#[test]
fn an_idle_link_accumulates_no_credit() {
    let mut link = link();
    link.reserve(at(0), BYTES_PER_SECOND);

    let mut reservation = link.reserve(at(9_000), BYTES_PER_SECOND);

    assert_eq!(reservation.schedule(1), at(9_000));
}

#[test]
fn a_response_that_states_an_odd_length_does_not_hold_up_the_others() {
    let mut link = Link::new(Throughput::new(1_000_000));

    link.reserve(Duration::ZERO, u64::MAX);

    let backlog = link.backlog(Duration::ZERO);
    assert!(backlog < Span::seconds(2), "{backlog}");
}

#[test]
fn a_long_response_reserves_the_link_part_by_part() {
    let mut link = Link::new(Throughput::new(1_000_000));
    let mut reservation = link.reserve(Duration::ZERO, u64::MAX);
    let mut sent = 0;

    while !reservation.is_used_up() {
        reservation.schedule(64 << 10);
        sent += 64 << 10;
    }

    assert_eq!(sent, RESERVED_MAX.get());
}
