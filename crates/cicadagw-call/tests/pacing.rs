//! Large responses share the network link of a host one after the other.

use std::time::Duration;

use cicadagw_call::pacing::{Extent, Link, RESERVED_MAX, Transfer, UNPACED_MAX};
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

/// The length of a part of a body as it arrives, in bytes.
const PART: u64 = 16 << 10;

/// Sends a body of `length` bytes in parts over a link of 1 MB/s that other responses keep reserved for
/// half a second, and returns how long that takes.
fn send_beside_others(extent: Extent, length: u64) -> Duration {
    let mut link = Link::new(Throughput::new(1_000_000));
    let mut transfer = Transfer::new(extent);
    let mut now = at(0);
    for _ in 0..length / PART {
        while link.backlog(now) < Span::new(500) {
            link.reserve(now, PART);
        }
        now = now.max(transfer.schedule(&mut link, now, PART));
    }
    now
}

// Guards against a body of unknown length that joined the end of the line again with each part: on a
// busy link a download of 200 kB took ten times as long as one whose length was known.
#[test]
fn a_body_does_not_wait_for_the_link_with_each_part() {
    let known = send_beside_others(Extent::Exactly(256 << 10), 256 << 10);
    let at_least = send_beside_others(Extent::AtLeast(256 << 10), 256 << 10);
    let longer = send_beside_others(Extent::AtLeast(256 << 10), 512 << 10);

    assert_eq!(at_least, known);
    assert!(known < at(1_000), "{known:?}");
    assert!(longer < at(4_000), "{longer:?}");
}

#[test]
fn link_time_that_a_body_reserved_beyond_its_end_is_given_back() {
    let mut link = Link::new(Throughput::new(1_000_000));
    let mut transfer = Transfer::new(Extent::Exactly(RESERVED_MAX.get()));
    transfer.schedule(&mut link, at(0), UNPACED_MAX.get());
    transfer.schedule(&mut link, at(0), PART);
    let reserved = link.backlog(at(0));

    transfer.end(&mut link, at(0));

    let left = link.backlog(at(0));
    assert!(reserved > Span::seconds(1), "{reserved}");
    assert!(left < Span::new(50), "{left}");
}

#[test]
fn a_body_that_ends_late_gives_back_no_time_that_has_passed() {
    let mut link = Link::new(Throughput::new(1_000_000));
    let mut transfer = Transfer::new(Extent::Exactly(RESERVED_MAX.get()));
    transfer.schedule(&mut link, at(0), UNPACED_MAX.get() + PART);

    transfer.end(&mut link, at(9_000));

    assert_eq!(link.backlog(at(9_000)), Span::new(0));
    assert_eq!(link.reserve(at(9_000), 1).schedule(1), at(9_000));
}
