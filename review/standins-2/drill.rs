//! The store comes back from a copy some seconds old, and gives out anew the revisions that nodes
//! have seen. A change that the operator makes at once then gets a revision that the nodes take for
//! one that they know.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::config::{Route, document};
use crate::instance::steady;
use crate::site::{Site, Verdict};

/// How long the store is away.
const AWAY: Duration = Duration::from_millis(150);

/// How old the copy is when the store goes away.
const COPY_AGE: Duration = Duration::from_secs(4);

/// `configApply` of kalavara-mesh.
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);

/// `contact` and `maxStretch` of kalavara-mesh; requests before their end are not judged.
const SETTLED: Duration = Duration::from_millis(4_000 + 5_000);

/// `revoke` of takbo-results-grown, which binds all nodes at all times.
const REVOKE: Duration = Duration::from_secs(5);

/// How often requests are sent to each node afterwards, and the pause between.
const ROUNDS: usize = 20;
const PAUSE: Duration = Duration::from_millis(500);

const CATALOGUE: &str = "catalogue";
const ORDERS: &str = "orders";
const MEDIA: &str = "media";

/// The configurations of a case.
struct Plan<'p> {
    /// In force from the start.
    first: String,
    /// Written after the copy was taken.
    lost: [(u64, String); 2],
    /// Written when the store is back.
    last: (u64, String),
    services: &'p [&'p str],
    peering: &'p str,
}

/// Plays a plan; returns when the last configuration was acknowledged, or `None` if the nodes did
/// not come up.
fn play(site: &mut Site, plan: &Plan<'_>, has_trouble: bool) -> Option<Instant> {
    site.store.write("config", "main", &plan.first);
    site.start_nodes(plan.services, plan.peering, 260);
    for index in 0..plan.services.len() {
        site.start_instance(
            index,
            &format!("i-{index}"),
            steady(Duration::from_millis(10)),
        );
    }
    if !site.is_up() {
        return None;
    }
    let copy = site.store.copy();
    let revision = site.store.revision();
    site.record.note(&format!(
        "a copy of the store is taken at revision {revision}"
    ));
    let pause = COPY_AGE / 2;
    for (version, document) in &plan.lost {
        thread::sleep(pause / 2);
        let revision = site.store.write("config", "main", document);
        site.record.note(&format!(
            "the operator writes r{version}: acknowledged at revision {revision}"
        ));
        thread::sleep(pause / 2);
    }
    if has_trouble {
        site.record.note("the store goes away");
        site.store.go_away();
        thread::sleep(AWAY);
        let (version, newest) = &plan.lost[1];
        site.store
            .come_back(copy, &[("config", "main", newest.clone())]);
        let revision = site.store.revision();
        site.record.note(&format!(
            "the store is back from the copy, in the next era, and r{version} is written again at revision {revision}"
        ));
    }
    let (version, last) = &plan.last;
    let revision = site.store.write("config", "main", last);
    site.record.note(&format!(
        "the operator writes r{version}: acknowledged at revision {revision}"
    ));
    Some(Instant::now())
}

/// A route is moved to another service: rule CONFIG.
pub fn moved(case: &Path, has_trouble: bool) -> Verdict {
    let mut site = Site::new();
    let services = [CATALOGUE, ORDERS, MEDIA];
    let config = |version, timeout, service| {
        let fixed = Route {
            timeout,
            ..Route::new("fixed", "fixed.example", "idempotent", CATALOGUE)
        };
        let moved = Route::new("moved", "moved.example", "idempotent", service);
        document(version, &services, &[fixed, moved], None)
    };
    let plan = Plan {
        first: config(10, "2000ms", CATALOGUE),
        lost: [
            (20, config(20, "1900ms", CATALOGUE)),
            (30, config(30, "1800ms", CATALOGUE)),
        ],
        last: (40, config(40, "1800ms", ORDERS)),
        services: &[
            CATALOGUE, CATALOGUE, CATALOGUE, CATALOGUE, ORDERS, ORDERS, ORDERS, ORDERS, MEDIA,
            MEDIA, MEDIA, MEDIA,
        ],
        peering: "\"rollouts\": false,",
    };
    let Some(acknowledged) = play(&mut site, &plan, has_trouble) else {
        return site.finish(case, Verdict::CouldNotRun);
    };
    thread::sleep(CONFIG_APPLY + SETTLED);
    let (mut old, mut new) = (0, 0);
    for _ in 0..ROUNDS {
        for node in &site.nodes {
            let id = site.id("moved");
            site.request(
                node.outbound,
                &id,
                "GET /a HTTP/1.1\r\nHost: moved.example\r\n",
                b"",
            );
            for run in site.record.runs(&id) {
                if run.service == CATALOGUE {
                    old += 1;
                } else {
                    new += 1;
                }
            }
        }
        thread::sleep(PAUSE);
    }
    let first = (CONFIG_APPLY + SETTLED).as_secs_f64();
    let last = acknowledged.elapsed().as_secs_f64();
    site.record.note(&format!(
        "sent {first:.1} to {last:.1} s after the acknowledgement of r40, which moves the route to {ORDERS}: {old} run by {CATALOGUE}, {new} by {ORDERS}"
    ));
    let verdict = match (old, new) {
        (0, 0) => Verdict::CouldNotRun,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    };
    site.finish(case, verdict)
}

/// A key is taken away from a client account: rule CONFIG, `revokeStrict`.
pub fn revoked(case: &Path, has_trouble: bool) -> Verdict {
    const PORTAL: &str = "finisher-portal";
    const LEDGER: &str = "race-ledger";
    let mut site = Site::new();
    let services = [PORTAL, LEDGER];
    let config = |version, timeout, keys: &[&str]| {
        let route = Route {
            timeout,
            ..Route::new("transfer", "ledger.example", "non_idempotent", LEDGER)
        };
        document(version, &services, &[route], Some(&[("club", keys)]))
    };
    let both = ["key-kept", "key-taken"];
    let plan = Plan {
        first: config(10, "2000ms", &both),
        lost: [
            (20, config(20, "1900ms", &both)),
            (30, config(30, "1800ms", &both)),
        ],
        last: (40, config(40, "1800ms", &["key-kept"])),
        services: &[
            PORTAL, PORTAL, PORTAL, PORTAL, LEDGER, LEDGER, LEDGER, LEDGER,
        ],
        peering: "\"rollouts\": true, \"revocation\": \"5000ms\",",
    };
    let Some(acknowledged) = play(&mut site, &plan, has_trouble) else {
        return site.finish(case, Verdict::CouldNotRun);
    };
    thread::sleep(REVOKE + Duration::from_millis(500));
    let (mut taken, mut kept) = (0, 0);
    for _ in 0..ROUNDS {
        for node in &site.nodes {
            for (key, count) in [("key-taken", &mut taken), ("key-kept", &mut kept)] {
                let id = site.id(key);
                let head = format!(
                    "POST /t HTTP/1.1\r\nHost: ledger.example\r\nCicadagw-Credential: {key}\r\n"
                );
                site.request(node.outbound, &id, &head, b"bib 7 to 8");
                *count += site.record.runs(&id).len();
            }
        }
        thread::sleep(PAUSE);
    }
    let last = acknowledged.elapsed().as_secs_f64();
    site.record.note(&format!(
        "sent 5.5 to {last:.1} s after the acknowledgement of r40, which takes a key away: {taken} run with that key, {kept} with the other one"
    ));
    let verdict = match (taken, kept) {
        (0, 0) => Verdict::CouldNotRun,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    };
    site.finish(case, verdict)
}
