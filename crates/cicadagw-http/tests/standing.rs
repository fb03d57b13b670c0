//! Which connection is closed to make room, and how fast refused requests are read.

use std::time::Duration;

use cicadagw_http::server::backoff::pause;
use cicadagw_http::server::standing::{
    Candidate, Standing, victim_for_connection, victim_for_memory,
};

fn candidate(standing: Standing, in_flight: usize, waited_ms: u64) -> Candidate {
    Candidate {
        in_flight,
        standing,
        waited: Duration::from_millis(waited_ms),
    }
}

#[test]
fn the_connection_that_was_idle_for_longest_makes_room_for_another() {
    let candidates = [
        candidate(Standing::Blocked, 32, 60_000),
        candidate(Standing::Idle, 0, 10),
        candidate(Standing::Idle, 0, 20),
        candidate(Standing::Receiving, 0, 60_000),
    ];

    assert_eq!(victim_for_connection(&candidates), Some(2));
}

#[test]
fn a_half_sent_head_makes_room_for_another_connection_but_not_at_once() {
    let fresh = candidate(Standing::Receiving, 0, 100);
    let old = candidate(Standing::Receiving, 0, 600);

    assert_eq!(victim_for_connection(&[fresh, fresh]), None);
    assert_eq!(victim_for_connection(&[fresh, old]), Some(1));
}

#[test]
fn the_stalled_connection_with_the_most_requests_is_closed_while_memory_is_scarce() {
    let candidates = [
        candidate(Standing::Idle, 0, 60_000),
        candidate(Standing::Blocked, 1, 60_000),
        candidate(Standing::Blocked, 32, 3_000),
        candidate(Standing::Blocked, 32, 1_000),
        candidate(Standing::Receiving, 1, 3_000),
    ];

    assert_eq!(victim_for_memory(&candidates), Some(2));
}

#[test]
fn a_client_that_waits_for_its_response_is_never_cut_off() {
    let working = [candidate(Standing::Working, 32, 60_000); 3];

    assert_eq!(victim_for_memory(&working), None);
    assert_eq!(victim_for_connection(&working), None);
}

#[test]
fn reading_pauses_for_longer_the_more_requests_sent_ahead_are_refused() {
    let pauses = [0, 7, 8, 9, 11, 12, u32::MAX].map(|refusals| pause(refusals).as_millis());

    assert_eq!(pauses, [0, 0, 100, 200, 800, 1_000, 1_000]);
}
