//! A report shows every finding with its lines, masks secrets, and accepts locations outside the
//! text.

use cicadagw_finding::{Finding, Findings, Location};
use cicadagw_report::render;
use quickcheck::{Gen, QuickCheck};

/// The seed of the property test.
const SEED: u64 = 6;

/// The size parameter of the generator of the property test.
const SIZE: usize = 100;

const TEXT: &str = r#"{
  "node": "Kochi A 1", // not a valid name
  "calls": "127.0.0.1:8101", "link": "127.0.0.1:8101",
  "region": "kochi", "domain": "kochi-a", "rack": "rack-1",
  "announce": "127.0.0.1:8103", "admin": "127.0.0.1:8104",
  "platform": ["127.0.0.1:7000"],
}"#;

/// Returns one finding at a line and column.
fn finding_at(line: usize, column: usize) -> Findings {
    let mut findings = Findings::default();
    findings.push(Finding {
        location: Location {
            source: "node.jsonc".into(),
            line,
            column,
        },
        message: "is wrong".to_owned(),
        help: None,
    });
    findings
}

#[test]
fn a_report_shows_the_lines_of_its_findings() {
    let findings = cicadagw_settings::load("node.jsonc", TEXT).unwrap_err();

    let report = render(&findings, TEXT);

    insta::assert_snapshot!(report);
}

#[test]
fn secrets_near_a_finding_are_masked() {
    let text = "{ \"admin_token\" :\n \"sesame \\\" open\", \"value\": \"sesame\", \"node\": 1 }";

    let report = render(&finding_at(2, 1), text);

    assert!(!report.contains("sesame"), "{report}");
    assert!(!report.contains("open"), "{report}");
    assert!(report.contains(r#""node": 1"#), "{report}");
}

#[test]
fn a_finding_at_any_location_in_any_text_is_reported() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn reports(text: String, line: u8, column: u8) -> bool {
        let findings = finding_at(line.into(), column.into());
        render(&findings, &text).contains("is wrong")
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .quickcheck(reports as fn(String, u8, u8) -> bool);
}
