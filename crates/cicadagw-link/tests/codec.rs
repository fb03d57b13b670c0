//! Messages survive an encode and decode round trip, and corrupt ones are rejected.

mod fixture;

use std::collections::BTreeMap;

use cicadagw_config::Delta;
use cicadagw_link::codec::{UNCOMPRESSED_MAX, decode, encode_down, encode_up};
use cicadagw_unit::size::Bytes;
use cicadagw_unit::{Digest, Version, id};
use cicadagw_wire::{Down, Laggard, Reason, Report, Up};
use fixture::{heartbeat, member, record, snapshot};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// The size limit of the decoder.
const LIMIT: Bytes = Bytes::new(4 * 1024 * 1024);
/// The base64 form of the zstd magic number, with which the content of a compressed message begins.
const ZSTD_PREFIX: &str = "KLUv/";
/// The number of random inputs per property.
const INPUTS: u64 = 300;

#[derive(Clone, Debug)]
struct AnyDown(Down);

impl Arbitrary for AnyDown {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = u16::arbitrary(g) % 40;
        Self(match u8::arbitrary(g) % 7 {
            0 => heartbeat(u64::arbitrary(g)),
            1 => Down::Endpoints((0..count).map(record).collect()),
            2 => Down::Path(Box::new((0..count).map(member).collect())),
            3 => Down::Census,
            4 => Down::Digests(digests(count)),
            5 => Down::Snapshot(Box::new(snapshot(count))),
            _ => {
                let (from, to) = (snapshot(u16::arbitrary(g) % 40), snapshot(count));
                Down::Delta(Box::new(Delta::between(&from, &to)))
            }
        })
    }
}

#[derive(Clone, Debug)]
struct AnyUp(Up);

impl Arbitrary for AnyUp {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = u16::arbitrary(g) % 40;
        Self(match u8::arbitrary(g) % 4 {
            0 => Up::Endpoints((0..count).map(record).collect()),
            1 => Up::Present((0..count).map(|number| member(number).node).collect()),
            2 => Up::SnapshotRequest,
            _ => Up::Report(Box::new(Report {
                lowest: Version::new(u64::arbitrary(g)),
                count: u32::arbitrary(g),
                serving: u32::arbitrary(g),
                laggards: (0..count % 4).map(|number| laggard(number, g)).collect(),
            })),
        })
    }
}

fn digests(count: u16) -> BTreeMap<id::Domain, Digest> {
    let digest = |number: u16| (format!("d{number}").parse().unwrap(), Digest::default());
    (0..count).map(digest).collect()
}

fn laggard(number: u16, g: &mut Gen) -> Laggard {
    Laggard {
        node: member(number).node,
        held: Version::new(u64::arbitrary(g)),
        reason: Reason::Refused(String::arbitrary(g).into()),
    }
}

/// Returns a property test with a fixed seed, so that every run tries the same values.
fn check() -> QuickCheck {
    let seed = 20_260;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, seed))
        .tests(INPUTS)
}

#[test]
fn messages_to_children_round_trip() {
    fn round_trips(AnyDown(message): AnyDown) -> bool {
        let encoded = encode_down(&message);
        decode::<Down>(encoded.get(), LIMIT).is_ok_and(|decoded| decoded == message)
    }
    check().quickcheck(round_trips as fn(AnyDown) -> bool);
}

#[test]
fn messages_to_parents_round_trip() {
    fn round_trips(AnyUp(message): AnyUp) -> bool {
        let encoded = encode_up(&message);
        decode::<Up>(encoded.get(), LIMIT).is_ok_and(|decoded| decoded == message)
    }
    check().quickcheck(round_trips as fn(AnyUp) -> bool);
}

#[test]
fn a_truncated_message_is_rejected() {
    fn is_rejected(AnyDown(message): AnyDown, at: usize) -> bool {
        let encoded = encode_down(&message);
        let truncated = &encoded.get()[..at % encoded.get().len()];
        decode::<Down>(truncated, LIMIT).is_err()
    }
    check().quickcheck(is_rejected as fn(AnyDown, usize) -> bool);
}

#[test]
fn arbitrary_text_is_rejected() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck gives values")]
    fn is_rejected(text: String) -> bool {
        decode::<Down>(&text, LIMIT).is_err()
            && decode::<Down>(&format!("\"{ZSTD_PREFIX}{text}\""), LIMIT).is_err()
    }
    check().quickcheck(is_rejected as fn(String) -> bool);
}

#[test]
fn a_message_over_the_limit_is_rejected() {
    let encoded = encode_down(&heartbeat(1));

    let decoded = decode::<Down>(encoded.get(), Bytes::new(16));

    assert!(
        decoded
            .unwrap_err()
            .to_string()
            .contains("exceeds the limit")
    );
}

#[test]
fn a_heartbeat_is_uncompressed_and_under_150_bytes() {
    let encoded = encode_down(&heartbeat(1_234));

    assert!(encoded.get().starts_with(r#"{"beat":"#));
    assert!(encoded.get().len() < 150, "{} bytes", encoded.get().len());
}

#[test]
fn only_large_messages_are_compressed() {
    let small = encode_down(&Down::Endpoints(vec![record(1)]));
    let large = encode_down(&Down::Endpoints((0..9).map(record).collect()));
    let path = encode_down(&Down::Path(Box::new((0..3).map(member).collect())));

    assert!(small.get().starts_with('{') && small.get().len() as u64 <= UNCOMPRESSED_MAX.get());
    assert!(large.get().starts_with('"'));
    assert!(path.get().starts_with('{'));
}
