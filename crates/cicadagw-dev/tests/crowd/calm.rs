//! Single requests within the limits, in calm.

use crate::fixture::{ORDINARY, Site};

/// The size of a large body, in bytes.
const BODY_BYTES: usize = 64_000_000;

#[test]
fn large_upload_passes_two_hops_within_bounds() {
    let mut site = Site::start(2);
    let head = format!(
        "POST {ORDINARY} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );

    let response = site.exchange(&[head.as_bytes(), &vec![b'm'; BODY_BYTES]].concat());

    let response = String::from_utf8(response).unwrap();
    assert!(
        response.contains(&format!("\"received\":{BODY_BYTES}")),
        "{response}"
    );
    site.assert_serves_within_bounds();
}

#[test]
fn large_download_passes_two_hops_within_bounds() {
    let mut site = Site::start(2);
    let request = format!(
        "GET {ORDINARY} HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx-answer-bytes: {BODY_BYTES}\r\n\r\n"
    );

    let response = site.exchange(request.as_bytes());

    let head = response
        .windows(4)
        .position(|bytes| bytes == b"\r\n\r\n")
        .unwrap();
    assert_eq!(response.len() - head - 4, BODY_BYTES);
    site.assert_serves_within_bounds();
}
