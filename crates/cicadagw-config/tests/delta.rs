//! A delta leads from one snapshot to the other or is refused.

use cicadagw_config::{Config, Delta, Snapshot, delta, load, part};
use cicadagw_unit::Version;

const SHOP: &str = r#"{
  "routes": {
    "shop": { "prefix": "/shop", "cluster": "shop", "policy": "browse" },
  },
  "clusters": { "shop": { "service": "shop" } },
  "policies": { "browse": { "timeout": "500ms" } },
  "presets": { "ordinary": {}, "peak": { "policies": { "browse": { "timeout": "250ms" } } } },
}"#;

fn shop() -> Config {
    load("shop.jsonc", SHOP).unwrap()
}

fn first() -> Snapshot {
    Snapshot::new(Version::new(1), "ordinary".parse().unwrap(), shop())
}

fn second() -> Snapshot {
    let mut config = shop();
    let mut route =
        config.routes["shop".parse::<cicadagw_unit::id::Route>().as_ref().unwrap()].clone();
    config.routes.clear();
    route.prefix = "/store".into();
    config.routes.insert("store".parse().unwrap(), route);
    Snapshot::new(Version::new(2), "peak".parse().unwrap(), config)
}

#[test]
fn a_delta_leads_to_the_later_snapshot() {
    let (first, second) = (first(), second());

    let reached = Delta::between(&first, &second).apply(&first);

    assert_eq!(reached, Ok(second));
}

#[test]
fn a_delta_is_refused_on_another_base() {
    let (first, second) = (first(), second());

    let outcome = Delta::between(&first, &second).apply(&second);

    assert_eq!(outcome, Err(delta::Error::OtherBase));
}

#[test]
fn a_corrupt_delta_is_refused() {
    let (first, second) = (first(), second());
    let mut delta = Delta::between(&first, &second);
    delta.routes.clear();

    let outcome = delta.apply(&first);

    assert_eq!(outcome, Err(delta::Error::WrongDigest));
}

#[test]
fn a_snapshot_returns_from_its_parts() {
    let snapshot = second();

    let parts: Vec<_> = part::pack(&snapshot.config)
        .into_iter()
        .map(|part| part.bytes)
        .collect();

    assert_eq!(part::unpack::<Config>(&parts).unwrap(), snapshot.config);
}

#[test]
fn open_references_are_reported_with_their_place() {
    let text = r#"{
  "routes": { "shop": { "prefix": "shop", "cluster": "gone", "policy": "gone" } },
  "clusters": { "shop": { "service": "shop", "secret": "gone" } },
  "presets": { "ordinary": { "policies": { "gone": {} } } },
}"#;

    let findings = load("shop.jsonc", text).unwrap_err();

    insta::assert_snapshot!(findings.to_string());
}
