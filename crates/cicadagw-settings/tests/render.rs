//! Rendered settings load back unchanged, and the documentation matches the table of keys.

use std::net::SocketAddr;

use cicadagw_settings::{
    Budget, Dialect, Format, Key, Level, Peering, Settings, Timing, load, render,
};
use cicadagw_unit::rate::Throughput;
use cicadagw_unit::size::{Bytes, Hops, Slots};
use cicadagw_unit::time::Span;
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// The seed of the property test.
const SEED: u64 = 6;

/// The size parameter of the generated values.
const SIZE: usize = 100;

fn address(source: &mut Gen, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, u8::arbitrary(source), 1], port))
}

fn addresses(source: &mut Gen, min: usize) -> Vec<SocketAddr> {
    let count = min + usize::from(u8::arbitrary(source) % 5);
    (0..count).map(|_| address(source, 9_000)).collect()
}

fn name<T: std::str::FromStr<Err = cicadagw_unit::Error>>(source: &mut Gen) -> T {
    format!("{}-{}", u8::arbitrary(source), u8::arbitrary(source))
        .parse()
        .unwrap()
}

fn span(source: &mut Gen, key: Key) -> Span {
    let Format::Span(low, high) = key.format() else {
        panic!("the format of {key} is not a span");
    };
    Span::new(low + u64::arbitrary(source) % (high - low + 1))
}

/// Returns a number from 2 to 64, which all limits of the budget accept.
fn small(source: &mut Gen) -> u8 {
    2 + u8::arbitrary(source) % 63
}

/// Arbitrary valid settings.
#[derive(Clone, Debug)]
struct Any(Settings);

impl Arbitrary for Any {
    fn arbitrary(source: &mut Gen) -> Self {
        let heartbeat = span(source, Key::Heartbeat);
        Self(Settings {
            admin: address(source, 8_104),
            admin_token: Some(format!("token-{:020}", u64::arbitrary(source)).into()),
            announce: address(source, 8_103),
            budget: Budget {
                descriptors: Option::arbitrary(source)
                    .map(|number: u16| Slots::new(201 + u32::from(number))),
                fanout: Slots::new(small(source).into()),
                hops: Hops::new(small(source)),
                memory: Bytes::new(1_000_000 * (1 + u64::from(u16::arbitrary(source)))),
                whole_syncs: Slots::new(small(source).into()),
            },
            calls: address(source, 8_101),
            domain: name(source),
            link: address(source, 8_102),
            log: *source.choose(&Level::ALL).unwrap(),
            node: name(source),
            peering: bool::arbitrary(source).then(|| Peering {
                dialect: Dialect::Crockworks,
                first_start: bool::arbitrary(source),
                link_rate: Throughput::new(u32::arbitrary(source).into()),
                metrics: address(source, 8_105),
                nodes: address(source, 8_106),
                ready: address(source, 8_107),
                retry_slack: u32::from(u16::arbitrary(source)) + 1,
                revocation: bool::arbitrary(source).then(|| span(source, Key::Revocation)),
                rollouts: bool::arbitrary(source),
                service: name(source),
            }),
            platform: addresses(source, 1).into(),
            rack: name(source),
            region: name(source),
            seeds: addresses(source, 0).into(),
            timing: Timing {
                drain: span(source, Key::Drain),
                heartbeat,
                lease: heartbeat.max(span(source, Key::Lease)),
                renewal: span(source, Key::Renewal),
                status: span(source, Key::Status),
            },
        })
    }
}

#[test]
fn rendered_settings_load_back_unchanged() {
    fn round_trips(Any(settings): Any) -> bool {
        load("rendered", &render(&settings)) == Ok(settings)
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .quickcheck(round_trips as fn(Any) -> bool);
}

/// Returns the expected rows of the table in `docs/SETTINGS.md`.
fn rows() -> String {
    let row = |key: Key| {
        let default = key
            .default()
            .map_or_else(|| "required".to_owned(), |default| format!("`{default}`"));
        format!(
            "| `{key}` | {} | {default} | {} |\n",
            key.format(),
            key.about()
        )
    };
    Key::ALL.into_iter().map(row).collect()
}

#[test]
fn the_documented_table_matches_the_keys() {
    let page = include_str!("../../../docs/SETTINGS.md");

    let rows = rows();

    assert!(
        page.contains(&rows),
        "the table of docs/SETTINGS.md must be:\n{rows}"
    );
}

#[test]
fn the_documented_example_matches_its_rendering() {
    let page = include_str!("../../../docs/SETTINGS.md");
    let example = page
        .split_once("```jsonc\n")
        .and_then(|(_, rest)| rest.split_once("```"))
        .map(|(example, _)| example)
        .unwrap();

    let settings = load("docs/SETTINGS.md", example).unwrap();

    assert_eq!(render(&settings), example);
}
