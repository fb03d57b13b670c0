//! Many requests on a connection whose responses are not read.

use crate::fixture::{ORDINARY, Site};
use crate::members::Member;

/// The number of clients that send requests ahead.
const CLIENTS_AHEAD: usize = 250;

/// The number of requests that each of them sends.
const REQUESTS_AHEAD: usize = 2_000;

/// The size of each response, in bytes.
const RESPONSE_BYTES: usize = 30_000;

/// The number of clients that request a large response each.
const CLIENTS_OF_DOWNLOADS: usize = 400;

/// The size of a large response, in bytes.
const DOWNLOAD_BYTES: usize = 10_000_000;

/// The number of clients that send requests for large responses ahead.
const CLIENTS_OF_DOWNLOADS_AHEAD: usize = 100;

fn request(response_bytes: usize) -> String {
    format!("GET {ORDINARY} HTTP/1.1\r\nhost: a\r\nx-answer-bytes: {response_bytes}\r\n\r\n")
}

fn sends_ahead() -> Member {
    Member::repeating("", request(RESPONSE_BYTES), REQUESTS_AHEAD)
}

#[test]
fn crowd_that_sends_requests_ahead_is_bounded_at_one_hop() {
    let mut site = Site::start(1);

    let _crowd = site.crowd(site.calls(), CLIENTS_AHEAD, &sends_ahead());

    site.assert_serves_within_bounds();
}

#[test]
fn crowd_that_sends_requests_ahead_is_bounded_at_two_hops() {
    let mut site = Site::start(2);

    let _crowd = site.crowd(site.calls(), CLIENTS_AHEAD, &sends_ahead());

    site.assert_serves_within_bounds();
}

#[test]
fn crowd_that_does_not_read_downloads_is_bounded_at_one_hop() {
    let mut site = Site::start(1);

    let member = Member::sending(request(DOWNLOAD_BYTES));
    let _crowd = site.crowd(site.calls(), CLIENTS_OF_DOWNLOADS, &member);

    site.assert_serves_within_bounds();
}

#[test]
fn crowd_that_does_not_read_downloads_is_bounded_at_two_hops() {
    let mut site = Site::start(2);

    let member = Member::sending(request(DOWNLOAD_BYTES));
    let _crowd = site.crowd(site.calls(), CLIENTS_OF_DOWNLOADS, &member);

    site.assert_serves_within_bounds();
}

#[test]
fn crowd_that_sends_requests_for_downloads_ahead_is_bounded_at_two_hops() {
    let mut site = Site::start(2);

    let member = Member::repeating("", request(DOWNLOAD_BYTES), REQUESTS_AHEAD);
    let _crowd = site.crowd(site.calls(), CLIENTS_OF_DOWNLOADS_AHEAD, &member);

    site.assert_serves_within_bounds();
}
