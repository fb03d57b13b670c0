//! Properties of the parsers and of the connection chart: input parses the same however it is split
//! into reads, and no input causes a panic.

#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes values by value"
)]

use bytes::BytesMut;
use cicadagw_chart::Name;
use cicadagw_http::lifecycle::{Event, State, chart};
use cicadagw_http::{Decoder, Error, Framing, Step, request, response};
use quickcheck::{Gen, QuickCheck};

/// The size of generated values, and the seed of their generator.
const SIZE: usize = 200;
const SEED: u64 = 11;

/// The limit on the size of parsed heads, in bytes.
const HEAD_BYTES_MAX: usize = 4 << 10;

/// Returns a checker with a fixed seed, so that every run checks the same cases.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED))
}

/// Decodes `bytes` received in pieces that end at `cuts`; returns the body and whether it is
/// complete.
fn decode(framing: Framing, bytes: &[u8], cuts: &[usize]) -> Result<(Vec<u8>, bool), Error> {
    let mut decoder = Decoder::new(framing);
    let mut buffer = BytesMut::new();
    let mut body = Vec::new();
    let mut begin = 0;
    for &end in cuts.iter().chain([&bytes.len()]) {
        buffer.extend_from_slice(&bytes[begin..end]);
        begin = end;
        loop {
            match decoder.step(&mut buffer)? {
                Step::Data(data) => body.extend_from_slice(&data),
                Step::Done => return Ok((body, true)),
                Step::More => break,
            }
        }
    }
    Ok((body, false))
}

#[test]
fn chunked_body_decodes_identically_for_any_split() {
    fn property(chunks: Vec<Vec<u8>>, cuts: Vec<usize>) -> bool {
        let mut bytes = Vec::new();
        let mut expected = Vec::new();
        for chunk in chunks.iter().filter(|chunk| !chunk.is_empty()) {
            bytes.extend(format!("{:X}\r\n", chunk.len()).into_bytes());
            bytes.extend(chunk);
            bytes.extend(b"\r\n");
            expected.extend(chunk);
        }
        bytes.extend(b"0\r\ntrailer: x\r\n\r\n");
        let mut cuts: Vec<_> = cuts.iter().map(|cut| cut % bytes.len()).collect();
        cuts.sort_unstable();
        decode(Framing::Chunked, &bytes, &cuts) == Ok((expected, true))
    }

    seeded().quickcheck(property as fn(Vec<Vec<u8>>, Vec<usize>) -> bool);
}

#[test]
fn request_head_is_parsed_only_when_complete() {
    let message = b"POST /a?b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
    let end = message.len() - 3;

    for length in 0..=message.len() {
        let mut bytes = BytesMut::from(&message[..length]);
        let head = request(&mut bytes, HEAD_BYTES_MAX).unwrap();
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
fn arbitrary_bytes_never_cause_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        let mut for_request = BytesMut::from(&bytes[..]);
        let mut for_response = BytesMut::from(&bytes[..]);
        request(&mut for_request, HEAD_BYTES_MAX).ok();
        response(&mut for_response, b"GET", HEAD_BYTES_MAX).ok();
        for framing in [Framing::Chunked, Framing::Length(7), Framing::Close] {
            decode(framing, &bytes, &[]).ok();
        }
        true
    }

    seeded().quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn response_framing_follows_head_and_method() {
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
        let read = response(&mut bytes, method.as_bytes(), HEAD_BYTES_MAX);
        read.map(|head| head.map(|head| (head.framing, head.keep_alive)))
    });

    insta::assert_debug_snapshot!(framings);
}

/// Returns whether a field name may contain `byte`.
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

// Guards against a faulty server: the line was passed on, or the head ended before it. The lengths
// are around the widths in which the parser compares bytes.
#[test]
fn response_head_with_an_invalid_byte_in_a_field_name_is_malformed() {
    let invalid: Vec<u8> = (0..=u8::MAX)
        .filter(|byte| !is_token(*byte) && *byte != b':')
        .collect();
    for length in [1, 2, 3, 7, 8, 9, 15, 16, 17, 31, 32, 33] {
        for position in 0..length {
            for &byte in &invalid {
                let mut name = vec![b'n'; length];
                name[position] = byte;
                let lines: [&[u8]; 2] = [b"id: a\r\ncontent-length: 3\r\n", b""];
                for (before, after) in [(lines[0], lines[1]), (lines[1], lines[0])] {
                    let message = [
                        b"HTTP/1.1 200 OK\r\n",
                        before,
                        &name,
                        b": value\r\n",
                        after,
                        b"\r\nown",
                    ];

                    let read = response(
                        &mut BytesMut::from(&message.concat()[..]),
                        b"GET",
                        HEAD_BYTES_MAX,
                    );

                    assert_eq!(read, Err(Error::Malformed), "{byte:#04x} at {position}");
                }
            }
        }
    }
}

// Guards against a faulty server: lines between the last chunk and the end of the body were skipped
// unread, so that any bytes could end a body as complete.
#[test]
fn trailer_that_is_no_field_makes_the_body_malformed() {
    let lines = [
        "garbage",
        "bad name: value",
        "bad : value",
        "bad\t: value",
        " bad: value",
        "b\0ad: value",
        "bad\x7f: value",
        "\nbad: value",
        "bad: val\x01ue",
        "bad: value\nmore: value",
        "bad: val\rue",
        ": value",
    ];
    for line in lines {
        for before in ["", "good: value\r\n"] {
            let body = format!("3\r\nown\r\n0\r\n{before}{line}\r\n\r\n");
            for cut in 0..body.len() {
                let decoded = decode(Framing::Chunked, body.as_bytes(), &[cut]);

                assert_eq!(decoded, Err(Error::Malformed), "{line:?} cut at {cut}");
            }
        }
    }
}

// Guards against a faulty server: a size line without a digit was read as the last chunk, which ends
// a body as complete, and a line feed did not end a size line with an extension.
#[test]
fn invalid_chunk_size_line_makes_the_body_malformed() {
    let without_digit = ["", ";", ";0", " ", "\t", " ;0", "\n", "\r"];
    let with_control_byte = [
        "0;a\nb",
        "0;a\n",
        "0;a\0",
        "0;\x01",
        "0;a=\"\x7f\"",
        "0;a\rb",
    ];
    for line in [&without_digit[..], &with_control_byte].concat() {
        let body = format!("3\r\nown\r\n{line}\r\n\r\n");
        for cut in 0..body.len() {
            let decoded = decode(Framing::Chunked, body.as_bytes(), &[cut]);

            assert_eq!(decoded, Err(Error::Malformed), "{line:?} cut at {cut}");
        }
    }
}

#[test]
fn chunk_sizes_with_extensions_and_zeros_are_read() {
    for (size, last) in [
        ("3", "0"),
        ("03;a=b", "000"),
        ("3 ;a", "0;a=\"b\""),
        ("3\t", "0 "),
    ] {
        let body = format!("{size}\r\nown\r\n{last}\r\n\r\n");

        let decoded = decode(Framing::Chunked, body.as_bytes(), &[]);

        assert_eq!(decoded, Ok((b"own".to_vec(), true)), "{body:?}");
    }
}

#[test]
fn trailer_fields_are_skipped() {
    for trailers in ["", "a: b\r\n", "a:\r\nlong-name:\tvalue, more\r\n"] {
        let body = format!("3\r\nown\r\n0\r\n{trailers}\r\n");

        let decoded = decode(Framing::Chunked, body.as_bytes(), &[]);

        assert_eq!(decoded, Ok((b"own".to_vec(), true)), "{trailers:?}");
    }
}

#[test]
fn response_head_whose_lines_all_end_with_a_line_feed_is_read() {
    let mut bytes = BytesMut::from("HTTP/1.1 200 OK\nid: a\ncontent-length: 3\n\nown");

    let head = response(&mut bytes, b"GET", HEAD_BYTES_MAX)
        .unwrap()
        .unwrap();

    assert_eq!(
        (head.framing, head.fields.text("id")),
        (Framing::Length(3), Some("a"))
    );
    assert_eq!(&bytes[..], b"own");
}

#[test]
fn connection_is_not_reused_after_stale_response_or_close() {
    fn property(events: Vec<u8>) -> bool {
        let mut state = chart().initial();
        let mut is_unusable = false;
        for event in events {
            let event = Event::ALL[usize::from(event) % Event::ALL.len()];
            let before = state;
            state = chart().step(state, event, |_| true).to;
            let is_awaited = matches!(before, State::Awaiting | State::OutOfSync);
            is_unusable |= event == Event::Stale && is_awaited;
            is_unusable |= event == Event::Broken;
            if is_unusable && state == State::Idle {
                return false;
            }
        }
        true
    }

    seeded().quickcheck(property as fn(Vec<u8>) -> bool);
}
