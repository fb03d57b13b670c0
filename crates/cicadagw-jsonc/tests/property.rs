//! The findings about an arbitrary or corrupted document are located within it, and the help lists
//! each known key once.

use cicadagw_finding::{Findings, Location};
use cicadagw_jsonc::{Reader, read};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// The seed of the property tests.
const SEED: u64 = 4;

/// The size parameter of the generated values.
const SIZE: usize = 60;

/// The number of inputs generated for each property.
const TRIES: u64 = 2_000;

const VALID: &str = r#"{
  // A comment, and ünïcode.
  "name": "kochi-a", "count": 7, /* another */ "on": true,
  "list": ["a", "b"], "more": { "inner": null },
}"#;

/// The characters that replace others in a corrupted document.
const CHARACTERS: [char; 14] = [
    '{', '}', '[', ']', '"', ':', ',', '/', '*', '\\', '\n', 'ü', '7', ' ',
];

/// A valid document in which up to three characters were replaced.
#[derive(Clone, Debug)]
struct Corrupted(String);

impl Arbitrary for Corrupted {
    fn arbitrary(source: &mut Gen) -> Self {
        let mut characters: Vec<char> = VALID.chars().collect();
        for _ in 0..u8::arbitrary(source) % 4 {
            let index = usize::arbitrary(source) % characters.len();
            characters[index] = *source.choose(&CHARACTERS).unwrap();
        }
        Self(characters.into_iter().collect())
    }
}

/// Converts a document as a caller would; the `count` of the valid document is out of its bounds, so
/// that every document has a finding.
fn convert(document: &Reader<'_, '_>) -> Option<()> {
    let object = document.object()?;
    let _ = object.required("name").and_then(|value| value.string());
    let _ = object
        .required("count")
        .and_then(|value| value.number(1, 5));
    let _ = object.required("on").and_then(|value| value.boolean());
    let _ = object
        .required("list")
        .and_then(|value| value.array(Reader::string));
    if let Some(inner) = object.required("more").and_then(|value| value.object()) {
        inner.finish();
    }
    object.finish();
    Some(())
}

fn is_within(text: &str, location: &Location) -> bool {
    let lines: Vec<&str> = text.split('\n').collect();
    location
        .line
        .checked_sub(1)
        .and_then(|index| lines.get(index))
        .is_some_and(|line| (1..=line.chars().count() + 1).contains(&location.column))
}

fn findings_are_within(text: &str) -> bool {
    let findings = read("property.jsonc", text, convert)
        .err()
        .unwrap_or_default();
    let locations = findings.as_slice().iter().map(|finding| &finding.location);
    locations
        .into_iter()
        .all(|location| is_within(text, location))
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
fn findings_in_an_arbitrary_text_are_located_within_it() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(text: String) -> bool {
        findings_are_within(&text)
    }

    check(property as fn(String) -> bool);
}

#[test]
fn findings_in_a_corrupted_document_are_located_within_it() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(document: Corrupted) -> bool {
        findings_are_within(&document.0)
    }

    check(property as fn(Corrupted) -> bool);
}

#[test]
fn a_document_nested_beyond_the_depth_limit_is_rejected() {
    let text = "[".repeat(100_000);

    let findings = read("deep.jsonc", &text, convert).unwrap_err();

    assert_eq!(messages(&findings).len(), 1);
}

#[test]
fn a_known_key_is_listed_once_in_the_help() {
    let text = r#"{ "b": 1, "unknown": 2 }"#;

    let findings = read("twice.jsonc", text, |document| {
        let object = document.object()?;
        let _ = (object.required("b"), object.get("b"), object.get("a"));
        object.finish();
        Some(())
    })
    .unwrap_err();

    let help = findings.as_slice()[0].help.as_deref();
    assert_eq!(help, Some("known keys: a, b"));
}
