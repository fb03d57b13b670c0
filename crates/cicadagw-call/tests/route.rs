//! Routes match by longest prefix, then by most conditions, then by name.

#![allow(
    clippy::needless_pass_by_value,
    reason = "the checker passes arguments by value"
)]

use cicadagw_call::route::{Index, RequestLine};
use cicadagw_config::{Config, Snapshot, load};
use cicadagw_unit::Version;
use quickcheck::{Gen, QuickCheck};

/// The size of the generated inputs and the seed of the generator.
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

/// Returns the cluster for a request with the header `x-kind: {kind}`.
fn cluster(host: &str, method: &str, path: &str, kind: &str) -> Option<String> {
    let line = RequestLine { host, method, path };
    let index = index("ordinary");
    let has_header = |name: &str, value: &str| name == "x-kind" && value == kind;
    index
        .find(line, has_header, 0)
        .map(|found| found.target.name.to_string())
}

#[test]
fn each_request_matches_its_route() {
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

    let matched: Vec<_> = calls
        .iter()
        .map(|(host, method, path, kind)| {
            let cluster = cluster(host, method, path, kind).unwrap();
            format!("{method} {host}{path} ({kind}) -> {cluster}")
        })
        .collect();

    insta::assert_snapshot!(matched.join("\n"));
}

#[test]
fn the_preset_in_force_overrides_the_policy() {
    let line = RequestLine {
        host: "else.test",
        method: "GET",
        path: "/shop",
    };

    let timeouts = ["ordinary", "peak"].map(|preset| {
        let index = index(preset);
        let target = index.find(line, |_, _| false, 0).unwrap().target;
        target.policy.timeout.to_string()
    });

    assert_eq!(timeouts, ["500ms", "250ms"]);
}

#[test]
fn a_call_routed_with_another_snapshot_resolves_by_service() {
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

/// Two clusters, each of its own service: `all`, which a route names, and `kiln` with a secret,
/// which no route names.
const WITH_KILN: &str = r#"{
  "routes": { "all": { "prefix": "/", "cluster": "all", "policy": "plain" } },
  "clusters": {
    "all": { "service": "all" },
    "kiln": { "service": "kiln", "secret": "kiln-key" },
  },
  "policies": { "plain": {}, "short": { "timeout": "40ms" } },
  "presets": { "ordinary": { "policies": { "short": { "timeout": "30ms" } } } },
  "secrets": { "kiln-key": { "header": "x-key", "value": "clay" } },
}"#;

/// The same configuration without the cluster `kiln`.
const WITHOUT_KILN: &str = r#"{
  "routes": { "all": { "prefix": "/", "cluster": "all", "policy": "plain" } },
  "clusters": { "all": { "service": "all" } },
  "policies": { "plain": {} },
  "presets": { "ordinary": {} },
}"#;

fn snapshot(version: u64, text: &str) -> Snapshot {
    let config = load("secrets.jsonc", text).unwrap();
    Snapshot::new(Version::new(version), "ordinary".parse().unwrap(), config)
}

/// Returns the timeout and the secret for a call that another node routed to the cluster `kiln`.
fn kiln(index: &Index) -> Option<(String, Option<String>)> {
    let (cluster, policy) = ("kiln".parse().unwrap(), "short".parse().unwrap());
    let target = index.resolve(&cluster, &policy, &"kiln".parse().unwrap())?;
    let secret = target.secret.as_ref();
    let secret = secret.map(|secret| secret.value.reveal().to_owned());
    Some((target.policy.timeout.to_string(), secret))
}

#[test]
fn a_call_to_a_cluster_without_route_is_resolved() {
    let index = Index::new(&snapshot(1, WITH_KILN));

    let resolved = kiln(&index);

    assert_eq!(resolved, Some(("30ms".to_owned(), Some("clay".to_owned()))));
}

#[test]
fn a_deleted_cluster_is_resolved_for_sixteen_versions() {
    let before = Index::new(&snapshot(1, WITH_KILN));

    let secrets = [2, 17, 18].map(|version| {
        let index = Index::with_previous(&before, &snapshot(version, WITHOUT_KILN));
        kiln(&index).and_then(|(_, secret)| secret)
    });

    let clay = || Some("clay".to_owned());
    assert_eq!(secrets, [clay(), clay(), None]);
}

#[test]
fn an_unknown_cluster_is_not_resolved() {
    let index = Index::new(&snapshot(2, WITHOUT_KILN));

    assert_eq!(kiln(&index), None);
}

/// Returns a property checker with a fixed seed, so that every run checks the same inputs.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED))
}

#[test]
fn a_prefix_matches_only_whole_path_segments() {
    fn property(tail: String) -> bool {
        let path = format!("/shop{tail}");
        let matched = cluster("else.test", "GET", &path, "one").unwrap();
        let is_segment_end = tail.is_empty() || tail.starts_with('/');
        is_segment_end != (matched == "all")
    }

    seeded().quickcheck(property as fn(String) -> bool);
}
