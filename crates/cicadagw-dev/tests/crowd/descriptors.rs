//! More connections than a node has descriptors for.

use crate::fixture::{BUSY, Site};
use crate::members::Member;

/// The number of clients; more than the descriptors of the node.
const CLIENTS: usize = 600;

/// The number of clients that connect in a loop.
const CLIENTS_IN_LOOP: usize = 32;

/// The number of connections that each of them opens.
const CONNECTIONS_IN_LOOP: usize = 200;

/// The size of the part of a head that is sent, in bytes.
const HALF_HEAD_BYTES: usize = 8_000;

fn idle() -> Member {
    Member::sending("")
}

fn half_head() -> Member {
    let field = "f".repeat(HALF_HEAD_BYTES);
    Member::sending(format!("GET {BUSY} HTTP/1.1\r\nhost: a\r\nfield: {field}"))
}

fn connecting_in_a_loop() -> Member {
    let mut member = Member::sending(format!("GET {BUSY} HTTP/1.1\r\nhost: a\r\n\r\n"));
    member.connections = CONNECTIONS_IN_LOOP;
    member
}

#[test]
fn crowd_of_idle_connections_leaves_descriptors() {
    let mut site = Site::with_few_descriptors(2);

    let _crowd = site.crowd(site.calls(), CLIENTS, &idle());

    site.assert_serves_within_bounds();
}

#[test]
fn crowd_with_half_sent_heads_leaves_descriptors() {
    let mut site = Site::with_few_descriptors(2);

    let _crowd = site.crowd(site.calls(), CLIENTS, &half_head());

    site.assert_serves_within_bounds();
}

#[test]
fn crowd_with_requests_in_flight_leaves_descriptors() {
    let mut site = Site::with_few_descriptors(2);

    let member = Member::sending(format!("GET {BUSY} HTTP/1.1\r\nhost: a\r\n\r\n"));
    let _crowd = site.crowd(site.calls(), CLIENTS, &member);

    site.assert_serves_within_bounds();
}

#[test]
fn crowd_that_connects_in_a_loop_leaves_descriptors() {
    let mut site = Site::with_few_descriptors(2);

    let _crowd = site.crowd(site.calls(), CLIENTS_IN_LOOP, &connecting_in_a_loop());

    site.assert_serves_within_bounds();
}

#[test]
fn crowd_of_idle_connections_for_announcements_leaves_descriptors() {
    let mut site = Site::with_few_descriptors(2);

    let _crowd = site.crowd(site.announce(), CLIENTS, &idle());

    site.assert_serves_within_bounds();
}

#[test]
fn crowd_of_idle_connections_for_links_leaves_descriptors() {
    let mut site = Site::with_few_descriptors(2);

    let _crowd = site.crowd(site.link(), CLIENTS, &idle());

    site.assert_serves_within_bounds();
}

#[test]
fn crowd_of_idle_connections_for_admin_pages_leaves_descriptors() {
    let mut site = Site::with_few_descriptors(2);

    let _crowd = site.crowd(site.admin(), CLIENTS, &idle());

    site.assert_serves_within_bounds();
}
