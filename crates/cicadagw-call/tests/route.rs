//! The longest prefix wins, then the most conditions, then the first name.

#![allow(
    clippy::needless_pass_by_value,
    reason = "the checker passes its values on"
)]

use cicadagw_call::route::{Index, Line};
use cicadagw_config::{Config, Snapshot, load};
use cicadagw_unit::Version;
use quickcheck::{Gen, QuickCheck};

/// How large the generated values are, and what their choice begins with.
const SIZE: usize = 60;
const SEED: u64 = 7;

const ROUTES: &str = r#"{
  "routes": {
    "all": { "prefix": "/", "cluster": "all", "policy": "plain" },
    "b-plain": { "prefix": "/shop", "cluster": "plain", "policy": "plain" },
    "c-post": { "prefix": "/shop", "method": "POST", "cluster": "post", "policy": "plain" },
    "d-host": { "prefix": "/shop", "host": "Shop.Test", "cluster": "host", "policy": "plain" },
    "e-both": {
      "prefix": "/shop", "host": "shop.test", "cluster": "both", "policy": "plain",
      "header": { "name": "x-kind", "value": "bulk" },
    },
    "f-long": { "prefix": "/shop/kiln", "cluster": "long", "policy": "plain" },
    "g-open": { "prefix": "/open/", "cluster": "open", "policy": "plain" },
  },
  "clusters": {
    "all": { "service": "all" }, "both": { "service": "both" }, "host": { "service": "host" },
    "long": { "service": "long" }, "open": { "service": "open" }, "plain": { "service": "plain" },
    "post": { "service": "post" },
  },
  "policies": { "plain": { "timeout": "500ms" } },
  "presets": { "ordinary": {}, "peak": { "policies": { "plain": { "timeout": "250ms" } } } },
}"#;

fn config() -> Config {
    load("routes.jsonc", ROUTES).unwrap()
}

fn index(preset: &str) -> Index {
    let preset = preset.parse().unwrap();
    Index::new(&Snapshot::new(Version::new(1), preset, config()))
}

fn cluster(host: &str, method: &str, path: &str, kind: &str) -> Option<String> {
    let line = Line { host, method, path };
    let index = index("ordinary");
    let has_header = |name: &str, value: &str| name == "x-kind" && value == kind;
    index
        .find(line, has_header)
        .map(|target| target.name.to_string())
}

#[test]
fn each_call_takes_its_route() {
    let calls = [
        ("shop.test", "GET", "/shop", "bulk"),
        ("shop.test", "GET", "/shop/7", "one"),
        ("shop.test", "POST", "/shop/7", "one"),
        ("else.test", "POST", "/shop/7", "one"),
        ("else.test", "GET", "/shop/7", "bulk"),
        ("else.test", "GET", "/shopping", "bulk"),
        ("shop.test", "GET", "/shop/kiln/3", "bulk"),
        ("shop.test", "GET", "/shop/kilns", "one"),
        ("else.test", "GET", "/open", "one"),
        ("else.test", "GET", "/open/gate", "one"),
    ];

    let taken: Vec<_> = calls
        .iter()
        .map(|(host, method, path, kind)| {
            let cluster = cluster(host, method, path, kind).unwrap();
            format!("{method} {host}{path} ({kind}) -> {cluster}")
        })
        .collect();

    insta::assert_snapshot!(taken.join("\n"));
}

#[test]
fn the_preset_in_force_changes_the_policy() {
    let line = Line {
        host: "else.test",
        method: "GET",
        path: "/shop",
    };

    let timeouts = ["ordinary", "peak"].map(|preset| {
        let index = index(preset);
        let target = index.find(line, |_, _| false).unwrap();
        target.policy.timeout.to_string()
    });

    assert_eq!(timeouts, ["500ms", "250ms"]);
}

#[test]
fn a_call_routed_with_another_snapshot_finds_its_cluster_or_none() {
    let index = index("ordinary");
    let resolve = |cluster: &str, service: &str| {
        let (cluster, service) = (cluster.parse().unwrap(), service.parse().unwrap());
        let policy = "unheard-of".parse().unwrap();
        let target = index.resolve(&cluster, &policy, &service);
        target.map(|target| target.name.to_string())
    };

    assert_eq!(resolve("host", "host").as_deref(), Some("host"));
    assert_eq!(resolve("renamed", "host").as_deref(), Some("host"));
    assert_eq!(resolve("host", "gone"), None);
}

#[test]
fn a_call_routed_with_an_older_snapshot_finds_a_cluster_without_routes() {
    let mut config = config();
    config.routes.clear();
    let index = Index::new(&Snapshot::new(
        Version::new(2),
        "peak".parse().unwrap(),
        config,
    ));
    let names = ("plain".parse().unwrap(), "plain".parse().unwrap());

    let target = index.resolve(&names.0, &names.1, &"plain".parse().unwrap());

    let target = target.unwrap();
    assert_eq!(target.name.as_str(), "plain");
    assert_eq!(target.policy.timeout.to_string(), "250ms");
}

/// Returns a checker that takes the same way on every run.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED))
}

#[test]
fn no_path_is_taken_by_a_prefix_that_ends_within_a_segment() {
    fn holds(tail: String) -> bool {
        let path = format!("/shop{tail}");
        let taken = cluster("else.test", "GET", &path, "one").unwrap();
        let is_border = tail.is_empty() || tail.starts_with('/');
        is_border != (taken == "all")
    }

    seeded().quickcheck(holds as fn(String) -> bool);
}
