//! Meshes, configurations and operators' commands for the tests.

use std::io;
use std::sync::OnceLock;

use cicadagw_dev::caller::{Outcome, Report};
use cicadagw_dev::mesh::Mesh;
use cicadagw_dev::process::Programs;
use cicadagw_unit::Version;
use cicadagw_unit::rate::PerSecond;
use serde_json::{Value, json};

/// How many calls are sent in a second; a busy machine carries that many for every mesh.
pub(crate) const RATE: PerSecond = PerSecond::new(50);

/// Two failure domains of one region, and one of another.
pub(crate) const PLACES: [(&str, &str); 3] = [
    ("kochi", "kochi-a"),
    ("kochi", "kochi-b"),
    ("kozhikode", "kozhikode-a"),
];

/// What `cicadactl --json` prints about an accepted change.
#[derive(Debug, serde::Deserialize)]
pub(crate) struct Accepted {
    pub(crate) version: Version,
    pub(crate) outcome: String,
}

/// Short periods, so that failovers are quick.
pub(crate) fn timing() -> Value {
    json!({ "heartbeat": "200ms", "lease": "1000ms", "renewal": "1000ms", "status": "200ms" })
}

/// Returns the programs, which are built once.
pub(crate) fn programs() -> &'static Programs {
    static PROGRAMS: OnceLock<Programs> = OnceLock::new();
    PROGRAMS.get_or_init(|| Programs::find().unwrap())
}

/// Starts `count` nodes in each of the first `domains` failure domains.
pub(crate) fn mesh(domains: usize, count: usize) -> Mesh {
    Mesh::start(programs(), &PLACES[..domains], count, &timing()).unwrap()
}

/// Starts a mesh that holds version 1.
pub(crate) fn mesh_at_one(domains: usize, count: usize) -> Mesh {
    let mesh = mesh(domains, count);
    let accepted = apply(&mesh, "catalogue").unwrap();
    mesh.until_held(accepted.version).unwrap();
    mesh
}

/// Returns a configuration that routes `/booking` to `cluster`.
pub(crate) fn configuration(cluster: &str) -> String {
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

/// Applies the configuration that routes `/booking` to `cluster`.
pub(crate) fn apply(mesh: &Mesh, cluster: &str) -> io::Result<Accepted> {
    let file = mesh.file("applied.jsonc", &configuration(cluster))?;
    let arguments = ["--json", "apply", &file, "--preset", "ordinary-day"];
    accepted(&mesh.operator("asha").run(&arguments)?)
}

/// Puts `preset` in force.
pub(crate) fn switch(mesh: &Mesh, preset: &str) -> io::Result<Accepted> {
    let arguments = ["--json", "preset", "use", preset];
    accepted(&mesh.operator("asha").run(&arguments)?)
}

/// Reads what `cicadactl --json` printed about a change.
pub(crate) fn accepted(text: &str) -> io::Result<Accepted> {
    Ok(serde_json::from_str(text)?)
}

/// Tells how many endpoints that take calls a node's dump shows.
pub(crate) fn endpoints(dump: &Value) -> usize {
    let endpoints = dump["endpoints"].as_object();
    let taking = |record: &&Value| record["state"] == "ready";
    endpoints.map_or(0, |all| all.values().filter(taking).count())
}

/// Checks that no request ran twice, that none called not run did run, and that every answer is
/// that of a request of its own.
pub(crate) fn check_runs(mesh: &Mesh, report: &Report) {
    let journal = mesh.journal().unwrap();
    assert_eq!(
        journal.duplicated(),
        Vec::<&str>::new(),
        "requests ran twice"
    );
    let not_run = journal.executed(report.requests(Outcome::NotRun));
    assert_eq!(not_run, Vec::<&str>::new(), "requests called not run ran");
    for wrong in [
        Outcome::Truncated,
        Outcome::Mismatched,
        Outcome::ErrorStatus,
    ] {
        assert_eq!(report.count(wrong), 0, "{}", told(report));
    }
}

/// Checks that every call was answered.
pub(crate) fn check_answered(report: &Report) {
    let answered = report.count(Outcome::Answered);
    assert!(answered > 0, "no calls");
    assert_eq!(answered, report.total(), "{}", told(report));
}

/// Tells what became of the calls.
pub(crate) fn told(report: &Report) -> String {
    let verdicts = [
        Outcome::Answered,
        Outcome::Truncated,
        Outcome::NoResponse,
        Outcome::Mismatched,
        Outcome::NotRun,
        Outcome::ErrorStatus,
        Outcome::Unknown,
    ];
    let counts = verdicts.map(|verdict| format!("{verdict:?} {}", report.count(verdict)));
    format!("{}, reasons {:?}", counts.join(", "), report.reasons())
}
