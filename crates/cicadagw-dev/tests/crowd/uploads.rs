//! Uploads that are sent ahead or never finished.

use crate::fixture::{BUSY, Site};
use crate::members::Member;

/// The number of clients that do not finish an upload.
const CLIENTS_OF_UPLOADS: usize = 950;

/// The size of the part that they send at a time, in bytes.
const PART_BYTES: usize = 10_000;

/// The number of parts that they send.
const PARTS: usize = 20;

/// The number of clients that send uploads ahead.
const CLIENTS_AHEAD: usize = 64;

/// The size of an upload that is sent ahead, in bytes.
const UPLOAD_BYTES: usize = 60_000;

/// The number of uploads that a client sends ahead.
const UPLOADS_AHEAD: usize = 100;

fn with_length() -> Member {
    let head = format!("POST {BUSY} HTTP/1.1\r\nhost: a\r\ncontent-length: 60000000\r\n\r\n");
    Member::repeating(head, "m".repeat(PART_BYTES), PARTS)
}

fn chunked() -> Member {
    let head = format!("POST {BUSY} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
    let chunk = format!("{PART_BYTES:x}\r\n{}\r\n", "m".repeat(PART_BYTES));
    Member::repeating(head, chunk, PARTS)
}

fn sent_ahead() -> Member {
    let body = "m".repeat(UPLOAD_BYTES);
    let head = format!("POST {BUSY} HTTP/1.1\r\nhost: a\r\ncontent-length: {UPLOAD_BYTES}\r\n\r\n");
    Member::repeating("", head + &body, UPLOADS_AHEAD)
}

#[test]
fn crowd_with_unfinished_uploads_of_known_length_is_bounded() {
    let mut site = Site::start(2);

    let _crowd = site.crowd(site.calls(), CLIENTS_OF_UPLOADS, &with_length());

    site.assert_serves_within_bounds();
}

#[test]
fn crowd_with_unfinished_uploads_in_chunks_is_bounded() {
    let mut site = Site::start(2);

    let _crowd = site.crowd(site.calls(), CLIENTS_OF_UPLOADS, &chunked());

    site.assert_serves_within_bounds();
}

#[test]
fn crowd_that_sends_uploads_ahead_is_bounded() {
    let mut site = Site::start(2);

    let _crowd = site.crowd(site.calls(), CLIENTS_AHEAD, &sent_ahead());

    site.assert_serves_within_bounds();
}
