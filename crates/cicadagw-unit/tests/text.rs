//! The string form of every newtype parses back to the same value, and invalid strings are
//! rejected.

use std::fmt::{Debug, Display};
use std::str::FromStr;

use cicadagw_unit::rate::{PerSecond, Permille, Throughput};
use cicadagw_unit::size::{Bytes, Hops, Slots};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Digest, Era, Revision, Sequence, Term, Version, id};
use quickcheck::quickcheck;

fn round_trips<T>(value: &T) -> bool
where
    T: Debug + Display + FromStr<Err = cicadagw_unit::Error> + PartialEq,
{
    value.to_string().parse::<T>().as_ref() == Ok(value)
}

quickcheck! {
    fn numbers_round_trip(long: u64, middle: u32, short: u16, byte: u8) -> bool {
        round_trips(&Version::new(long))
            && round_trips(&Sequence::new(long))
            && round_trips(&Era::new(long))
            && round_trips(&Revision::new(long))
            && round_trips(&Revision::new(long).in_era(Era::new(middle.into())))
            && round_trips(&Term::from(Revision::new(long).in_era(Era::new(middle.into()))))
            && round_trips(&Bytes::new(long))
            && round_trips(&Timestamp::new(long))
            && round_trips(&Span::new(long))
            && round_trips(&Throughput::new(long))
            && round_trips(&Slots::new(middle))
            && round_trips(&PerSecond::new(middle))
            && round_trips(&Permille::new(short))
            && round_trips(&Hops::new(byte))
    }

    fn digests_round_trip(low: u128, high: u128) -> bool {
        let mut hash = [0; 32];
        hash[..16].copy_from_slice(&low.to_be_bytes());
        hash[16..].copy_from_slice(&high.to_be_bytes());
        round_trips(&Digest::from_hash(&hash))
    }

    fn names_round_trip(text: String) -> bool {
        text.parse::<id::Service>().map_or(true, |name| round_trips(&name))
    }
}

#[test]
fn invalid_names_are_rejected() {
    for text in ["", "-a", "Upper", "a b", "ä", &"x".repeat(65)] {
        let outcome = text.parse::<id::Node>();

        assert!(outcome.is_err(), "{text:?}");
    }
}

#[test]
fn invalid_numbers_are_rejected() {
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
fn an_error_describes_the_expected_syntax() {
    let error = "Upper".parse::<id::Node>().unwrap_err();

    assert_eq!(
        error.to_string(),
        "`Upper` is not a valid node name: expected 1 to 64 characters from a-z, 0-9, `-`, `_` and `.`, starting with a letter or digit"
    );
}
