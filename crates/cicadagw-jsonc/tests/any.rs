//! Any text is read or refused with findings that have their place within it.

use cicadagw_finding::{Findings, Location};
use cicadagw_jsonc::{Reader, read};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// The seed of the property tests.
const SEED: u64 = 4;

/// How large the values of the property tests are.
const SIZE: usize = 60;

/// How many texts a property is tried with.
const TRIES: u64 = 2_000;

const GOOD: &str = r#"{
  // A comment, and ünïcode.
  "name": "kochi-a", "count": 7, /* another */ "on": true,
  "list": ["a", "b"], "more": { "inner": null },
}"#;

/// What the characters of a broken text are taken from.
const CHARACTERS: [char; 14] = [
    '{', '}', '[', ']', '"', ':', ',', '/', '*', '\\', '\n', 'ü', '7', ' ',
];

/// A good text in which some characters were replaced.
#[derive(Clone, Debug)]
struct Broken(String);

impl Arbitrary for Broken {
    fn arbitrary(source: &mut Gen) -> Self {
        let mut characters: Vec<char> = GOOD.chars().collect();
        for _ in 0..u8::arbitrary(source) % 4 {
            let index = usize::arbitrary(source) % characters.len();
            characters[index] = *source.choose(&CHARACTERS).unwrap();
        }
        Self(characters.into_iter().collect())
    }
}

/// Reads a text as a caller would, with wishes that fail now and then.
fn take(document: &Reader<'_, '_>) -> Option<()> {
    let table = document.object()?;
    let _ = table.required("name").and_then(|value| value.string());
    let _ = table.required("count").and_then(|value| value.number(1, 5));
    let _ = table.required("on").and_then(|value| value.boolean());
    let _ = table
        .required("list")
        .and_then(|value| value.array(Reader::string));
    if let Some(inner) = table.required("more").and_then(|value| value.object()) {
        inner.finish();
    }
    table.finish();
    Some(())
}

fn is_within(text: &str, place: &Location) -> bool {
    let lines: Vec<&str> = text.split('\n').collect();
    place
        .line
        .checked_sub(1)
        .and_then(|index| lines.get(index))
        .is_some_and(|line| (1..=line.chars().count() + 1).contains(&place.column))
}

fn holds(text: &str) -> bool {
    let findings = read("any.jsonc", text, take).err().unwrap_or_default();
    let places = findings.as_slice().iter().map(|finding| &finding.location);
    places.into_iter().all(|place| is_within(text, place))
}

fn check(property: impl quickcheck::Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(TRIES)
        .max_tests(TRIES * 2)
        .quickcheck(property);
}

fn messages(findings: &Findings) -> Vec<&str> {
    let findings = findings.as_slice().iter();
    findings.map(|finding| finding.message.as_str()).collect()
}

#[test]
fn findings_in_any_text_have_their_place_within_it() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the property library passes values"
    )]
    fn property(text: String) -> bool {
        holds(&text)
    }

    check(property as fn(String) -> bool);
}

#[test]
fn findings_in_a_broken_text_have_their_place_within_it() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the property library passes values"
    )]
    fn property(broken: Broken) -> bool {
        holds(&broken.0)
    }

    check(property as fn(Broken) -> bool);
}

#[test]
fn a_text_that_is_nested_without_end_is_refused() {
    let text = "[".repeat(100_000);

    let findings = read("deep.jsonc", &text, take).unwrap_err();

    assert_eq!(messages(&findings).len(), 1);
}

#[test]
fn a_known_name_is_told_once() {
    let text = r#"{ "b": 1, "unknown": 2 }"#;

    let findings = read("twice.jsonc", text, |document| {
        let table = document.object()?;
        let _ = (table.required("b"), table.get("b"), table.get("a"));
        table.finish();
        Some(())
    })
    .unwrap_err();

    let help = findings.as_slice()[0].help.as_deref();
    assert_eq!(help, Some("known here: a, b"));
}
