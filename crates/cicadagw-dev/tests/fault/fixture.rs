//! Meshes, configurations, operator commands and assertions for the fault tests.

use std::io;
use std::sync::OnceLock;

use cicadagw_dev::caller::{Outcome, Report};
use cicadagw_dev::mesh::Mesh;
use cicadagw_dev::process::Programs;
use cicadagw_unit::Version;
use cicadagw_unit::rate::PerSecond;
use serde_json::{Value, json};

/// The rate of calls; low enough that a busy machine sustains it for every mesh that runs in
/// parallel.
pub(crate) const CALL_RATE: PerSecond = PerSecond::new(50);

/// The region and failure domain of each locality: two failure domains in one region and one in
/// another.
pub(crate) const LOCALITIES: [(&str, &str); 3] = [
    ("kochi", "kochi-a"),
    ("kochi", "kochi-b"),
    ("kozhikode", "kozhikode-a"),
];

/// The output of `cicadactl --json` for an accepted change.
#[derive(Debug, serde::Deserialize)]
pub(crate) struct Accepted {
    pub(crate) version: Version,
    pub(crate) outcome: String,
}

/// Returns timing settings with short periods, so that failovers are fast.
pub(crate) fn timing() -> Value {
    json!({ "heartbeat": "200ms", "lease": "1000ms", "renewal": "1000ms", "status": "200ms" })
}

/// Returns the programs; the first call builds them.
pub(crate) fn programs() -> &'static Programs {
    static PROGRAMS: OnceLock<Programs> = OnceLock::new();
    PROGRAMS.get_or_init(|| Programs::find().unwrap())
}

/// Starts a mesh with `count` nodes in each of the first `domains` failure domains.
pub(crate) fn mesh(domains: usize, count: usize) -> Mesh {
    Mesh::start(programs(), &LOCALITIES[..domains], count, &timing()).unwrap()
}

/// As [`mesh`], and waits until every node holds configuration version 1.
pub(crate) fn mesh_at_version_one(domains: usize, count: usize) -> Mesh {
    let mesh = mesh(domains, count);
    let accepted = apply_route(&mesh, "catalogue").unwrap();
    mesh.wait_for_version(accepted.version).unwrap();
    mesh
}

/// Returns a configuration that routes `/booking` to `cluster`.
pub(crate) fn route_configuration(cluster: &str) -> String {
    let config = json!({
        "clusters": {
            "catalogue": { "service": "catalogue" },
            "orders": { "service": "orders" },
        },
        "policies": { "standard": { "timeout": "5000ms" } },
        "presets": {
            "ordinary-day": {},
            "peak": { "policies": { "standard": { "timeout": "6000ms" } } },
        },
        "routes": {
            "booking": { "prefix": "/booking", "cluster": cluster, "policy": "standard" },
        },
    });
    config.to_string()
}

/// Applies the configuration that routes `/booking` to `cluster`, as the operator `asha`.
pub(crate) fn apply_route(mesh: &Mesh, cluster: &str) -> io::Result<Accepted> {
    let file = mesh.file("applied.jsonc", &route_configuration(cluster))?;
    let arguments = ["--json", "apply", &file, "--preset", "ordinary-day"];
    accepted(&mesh.operator("asha").run(&arguments)?)
}

/// Makes `preset` the active preset, as the operator `asha`.
pub(crate) fn use_preset(mesh: &Mesh, preset: &str) -> io::Result<Accepted> {
    let arguments = ["--json", "preset", "use", preset];
    accepted(&mesh.operator("asha").run(&arguments)?)
}

/// Parses the output of `cicadactl --json` for a change.
pub(crate) fn accepted(text: &str) -> io::Result<Accepted> {
    Ok(serde_json::from_str(text)?)
}

/// Returns the number of endpoints in the state `ready` in the dump of a node.
pub(crate) fn ready_endpoints(dump: &Value) -> usize {
    let endpoints = dump["endpoints"].as_object();
    let is_ready = |record: &&Value| record["state"] == "ready";
    endpoints.map_or(0, |all| all.values().filter(is_ready).count())
}

/// Asserts that no request was executed twice, that none reported as not executed was executed, and
/// that no response was truncated, mismatched, or an error without a reported outcome.
pub(crate) fn assert_consistent(mesh: &Mesh, report: &Report) {
    let journal = mesh.journal().unwrap();
    assert_eq!(
        journal.duplicated(),
        Vec::<&str>::new(),
        "requests were executed twice"
    );
    let not_executed = journal.executed(report.requests(Outcome::NotExecuted));
    assert_eq!(
        not_executed,
        Vec::<&str>::new(),
        "requests reported as not executed were executed"
    );
    for outcome in [
        Outcome::Truncated,
        Outcome::Mismatched,
        Outcome::ErrorStatus,
    ] {
        assert_eq!(report.count(outcome), 0, "{}", describe(report));
    }
}

/// Asserts that every call was answered, and that there was at least one.
pub(crate) fn assert_all_answered(report: &Report) {
    let answered = report.count(Outcome::Answered);
    assert!(answered > 0, "expected at least one answered call");
    assert_eq!(answered, report.total(), "{}", describe(report));
}

/// Returns the number of calls for each outcome and each reason, for assertion messages.
pub(crate) fn describe(report: &Report) -> String {
    let outcomes = [
        Outcome::Answered,
        Outcome::Truncated,
        Outcome::NoResponse,
        Outcome::Mismatched,
        Outcome::NotExecuted,
        Outcome::ErrorStatus,
        Outcome::Unknown,
    ];
    let counts = outcomes.map(|outcome| format!("{outcome:?} {}", report.count(outcome)));
    format!("{}, reasons {:?}", counts.join(", "), report.reasons())
}
