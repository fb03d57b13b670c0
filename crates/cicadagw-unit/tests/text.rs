//! The text form of every newtype can be read back, and a wrong text is refused.

use std::fmt::{Debug, Display};
use std::str::FromStr;

use cicadagw_unit::rate::{PerSecond, Permille, Throughput};
use cicadagw_unit::size::{Bytes, Hops, Slots};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Digest, Sequence, Version, id};
use quickcheck::quickcheck;

fn returns<T>(value: &T) -> bool
where
    T: Debug + Display + FromStr<Err = cicadagw_unit::Error> + PartialEq,
{
    value.to_string().parse::<T>().as_ref() == Ok(value)
}

quickcheck! {
    fn numbers_return_from_their_text(long: u64, middle: u32, short: u16, byte: u8) -> bool {
        returns(&Version::new(long))
            && returns(&Sequence::new(long))
            && returns(&Bytes::new(long))
            && returns(&Timestamp::new(long))
            && returns(&Span::new(long))
            && returns(&Throughput::new(long))
            && returns(&Slots::new(middle))
            && returns(&PerSecond::new(middle))
            && returns(&Permille::new(short))
            && returns(&Hops::new(byte))
    }

    fn digests_return_from_their_text(low: u128, high: u128) -> bool {
        let mut hash = [0; 32];
        hash[..16].copy_from_slice(&low.to_be_bytes());
        hash[16..].copy_from_slice(&high.to_be_bytes());
        returns(&Digest::from_hash(&hash))
    }

    fn names_return_from_their_text(text: String) -> bool {
        text.parse::<id::Service>().map_or(true, |name| returns(&name))
    }
}

#[test]
fn wrong_names_are_refused() {
    for text in ["", "-a", "Upper", "a b", "ä", &"x".repeat(65)] {
        let outcome = text.parse::<id::Node>();

        assert!(outcome.is_err(), "{text:?}");
    }
}

#[test]
fn wrong_numbers_are_refused() {
    for text in [
        "",
        "ms",
        "-1ms",
        "+1ms",
        "1s",
        "1 ms",
        "18446744073709551616ms",
    ] {
        let outcome = text.parse::<Span>();

        assert!(outcome.is_err(), "{text:?}");
    }
}

#[test]
fn an_error_names_what_was_wanted() {
    let error = "Upper".parse::<id::Node>().unwrap_err();

    assert_eq!(
        error.to_string(),
        "`Upper` is not a node name: expected 1 to 64 of a-z, 0-9, `-`, `_`, `.`, beginning with a letter or digit"
    );
}
