//! A delta turns its base snapshot into the later one or is rejected, and parts and loading detect
//! invalid content.

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
fn applying_a_delta_to_its_base_yields_the_later_snapshot() {
    let (first, second) = (first(), second());

    let applied = Delta::between(&first, &second).apply(&first);

    assert_eq!(applied, Ok(second));
}

#[test]
fn a_delta_is_rejected_on_another_base() {
    let (first, second) = (first(), second());

    let outcome = Delta::between(&first, &second).apply(&second);

    assert_eq!(outcome, Err(delta::Error::OtherBase));
}

#[test]
fn a_delta_whose_result_has_another_digest_is_rejected() {
    let (first, second) = (first(), second());
    let mut delta = Delta::between(&first, &second);
    delta.routes.clear();

    let outcome = delta.apply(&first);

    assert_eq!(outcome, Err(delta::Error::WrongDigest));
}

#[test]
fn packed_parts_unpack_to_the_same_configuration() {
    let snapshot = second();

    let parts: Vec<_> = part::pack(&snapshot.config)
        .into_iter()
        .map(|part| part.bytes)
        .collect();

    assert_eq!(part::unpack::<Config>(&parts).unwrap(), snapshot.config);
}

#[test]
fn dangling_references_are_reported_with_their_location() {
    let text = r#"{
  "routes": { "shop": { "prefix": "shop", "cluster": "gone", "policy": "gone" } },
  "clusters": { "shop": { "service": "shop", "secret": "gone" } },
  "presets": { "ordinary": { "policies": { "gone": {} } } },
}"#;

    let findings = load("shop.jsonc", text).unwrap_err();

    insta::assert_snapshot!(findings.to_string());
}

#[test]
fn a_delta_tells_whether_calls_need_keys_without_any_account() {
    let open = first();
    let mut config = shop();
    config.requires_keys = true;
    let closed = Snapshot::new(Version::new(2), "ordinary".parse().unwrap(), config);

    let to_closed = Delta::between(&open, &closed).apply(&open);
    let to_open = Delta::between(&closed, &open).apply(&closed);

    assert_eq!((to_closed, to_open), (Ok(closed), Ok(open)));
}
