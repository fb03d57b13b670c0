//! However a message is split on its way, it reads the same; whatever comes, nothing panics.

#![allow(
    clippy::needless_pass_by_value,
    reason = "the checker passes its values on"
)]

use bytes::BytesMut;
use cicadagw_chart::Name;
use cicadagw_http::life::{Event, State, chart};
use cicadagw_http::{Decoder, Error, Framing, Step, request, response};
use quickcheck::{Gen, QuickCheck};

/// How large the generated values are, and what their choice begins with.
const SIZE: usize = 200;
const SEED: u64 = 11;

const HEAD_MAX: usize = 4 << 10;

/// Returns a checker that takes the same way on every run.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED))
}

/// Decodes `bytes` as they come in pieces that end at `cuts`.
fn decode(framing: Framing, bytes: &[u8], cuts: &[usize]) -> Result<(Vec<u8>, bool), Error> {
    let mut decoder = Decoder::new(framing);
    let mut buffer = BytesMut::new();
    let mut whole = Vec::new();
    let mut begin = 0;
    for &end in cuts.iter().chain([&bytes.len()]) {
        buffer.extend_from_slice(&bytes[begin..end]);
        begin = end;
        loop {
            match decoder.step(&mut buffer)? {
                Step::Data(data) => whole.extend_from_slice(&data),
                Step::Done => return Ok((whole, true)),
                Step::More => break,
            }
        }
    }
    Ok((whole, false))
}

#[test]
fn chunks_read_the_same_wherever_they_are_split() {
    fn holds(chunks: Vec<Vec<u8>>, cuts: Vec<usize>) -> bool {
        let mut bytes = Vec::new();
        let mut wanted = Vec::new();
        for chunk in chunks.iter().filter(|chunk| !chunk.is_empty()) {
            bytes.extend(format!("{:X}\r\n", chunk.len()).into_bytes());
            bytes.extend(chunk);
            bytes.extend(b"\r\n");
            wanted.extend(chunk);
        }
        bytes.extend(b"0\r\ntrailer: x\r\n\r\n");
        let mut cuts: Vec<_> = cuts.iter().map(|cut| cut % bytes.len()).collect();
        cuts.sort_unstable();
        decode(Framing::Chunked, &bytes, &cuts) == Ok((wanted, true))
    }

    seeded().quickcheck(holds as fn(Vec<Vec<u8>>, Vec<usize>) -> bool);
}

#[test]
fn a_head_is_found_only_once_it_is_whole() {
    let whole = b"POST /a?b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
    let end = whole.len() - 3;

    for length in 0..=whole.len() {
        let mut bytes = BytesMut::from(&whole[..length]);
        let head = request(&mut bytes, HEAD_MAX).unwrap();
        assert_eq!(head.is_some(), length >= end, "{length}");
        if let Some(head) = head {
            assert_eq!(head.framing, Framing::Length(3));
            assert_eq!(
                (&head.target[..], head.fields.text("host")),
                (&b"/a?b"[..], Some("x"))
            );
            assert_eq!(bytes.len(), length - end);
        }
    }
}

#[test]
fn any_bytes_are_read_or_refused() {
    fn holds(bytes: Vec<u8>) -> bool {
        let mut for_request = BytesMut::from(&bytes[..]);
        let mut for_response = BytesMut::from(&bytes[..]);
        request(&mut for_request, HEAD_MAX).ok();
        response(&mut for_response, b"GET", HEAD_MAX).ok();
        for framing in [Framing::Chunked, Framing::Length(7), Framing::Close] {
            decode(framing, &bytes, &[]).ok();
        }
        true
    }

    seeded().quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn the_end_of_a_response_is_told_by_its_head() {
    let cases = [
        ("200 OK\r\ncontent-length: 5", "GET"),
        ("200 OK\r\ntransfer-encoding: chunked", "GET"),
        ("200 OK", "GET"),
        ("200 OK\r\ncontent-length: 5", "HEAD"),
        ("204 No Content", "GET"),
        ("304 Not Modified\r\ncontent-length: 5", "GET"),
        (
            "200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked",
            "GET",
        ),
        ("200 OK\r\ncontent-length: 5, 5", "GET"),
    ];

    let framings = cases.map(|(head, method)| {
        let mut bytes = BytesMut::from(format!("HTTP/1.1 {head}\r\n\r\n").as_bytes());
        let read = response(&mut bytes, method.as_bytes(), HEAD_MAX);
        read.map(|head| head.map(|head| (head.framing, head.keep_alive)))
    });

    insta::assert_debug_snapshot!(framings);
}

#[test]
fn no_connection_is_used_again_after_a_foreign_answer_or_an_end() {
    fn holds(events: Vec<u8>) -> bool {
        let mut state = chart().initial();
        let mut is_tainted = false;
        for event in events {
            let event = Event::ALL[usize::from(event) % Event::ALL.len()];
            let before = state;
            state = chart().step(state, event, |_| true).to;
            let is_awaited = matches!(before, State::Awaiting | State::Suspect);
            is_tainted |= event == Event::Foreign && is_awaited;
            is_tainted |= event == Event::Broken;
            if is_tainted && state == State::Idle {
                return false;
            }
        }
        true
    }

    seeded().quickcheck(holds as fn(Vec<u8>) -> bool);
}
