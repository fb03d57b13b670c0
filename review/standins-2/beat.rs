//! Heartbeats from another writer, under the ids of the instances and with a service that no
//! configuration names.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::config::{Route, document};
use crate::instance::{post, steady};
use crate::site::{Site, Verdict};

/// How many requests are sent through each node, and the pause between two rounds.
const ROUNDS: usize = 60;
const PAUSE: Duration = Duration::from_millis(200);

/// The count of the other writer.
const SEQUENCE: u64 = 1_000;

/// Each instance of a service gets one heartbeat of another writer beside its own: rule DENIED.
pub fn odd(case: &Path, has_trouble: bool) -> Verdict {
    let mut site = Site::new();
    let services = ["catalogue", "orders"];
    let routes = [
        Route::new("catalogue", "catalogue.example", "idempotent", "catalogue"),
        Route::new("orders", "orders.example", "idempotent", "orders"),
    ];
    let first = document(10, &services, &routes, None);
    site.store.write("config", "main", &first);
    site.start_nodes(
        &["catalogue", "catalogue", "orders", "orders"],
        "\"rollouts\": false,",
        260,
    );
    for index in 0..4 {
        let work = steady(Duration::from_millis(10));
        site.start_instance(index, &format!("i-{index}"), work);
    }
    if !site.is_up() {
        return site.finish(case, Verdict::CouldNotRun);
    }
    if has_trouble {
        for (instance, node) in site.instances.iter().zip(&site.nodes) {
            if instance.service != "orders" {
                continue;
            }
            let body = format!(
                "{{\"service\":\"not-named-here\",\"address\":\"{}\",\"zone\":\"kochi-a\",\"version\":\"v1\",\"slots\":9,\"state\":\"ready\",\"coldRemaining\":\"0ms\",\"sequence\":{SEQUENCE},\"born\":{}}}",
                instance.address, instance.born
            );
            let status = post(node.control, &instance.id, "heartbeat", &body);
            site.record.note(&format!(
                "another writer sends a heartbeat for {}: {status:?} to {body}",
                instance.id
            ));
        }
    }
    let (mut sent, mut denied) = (0, 0);
    for _ in 0..ROUNDS {
        for node in &site.nodes {
            for host in ["catalogue", "orders"] {
                let id = site.id(host);
                let head = format!("GET /a HTTP/1.1\r\nHost: {host}.example\r\n");
                let answer = site.request(node.outbound, &id, &head, b"");
                sent += 1;
                denied += usize::from(answer.is_some_and(|answer| answer.status() == 404));
            }
        }
        thread::sleep(PAUSE);
    }
    site.record.note(&format!(
        "{sent} requests that every configuration allows; 404 to {denied}"
    ));
    // DENIED: more than 5 + one in 500 of all requests.
    let verdict = if denied > 5 + sent / 500 {
        Verdict::Broken
    } else {
        Verdict::Held
    };
    site.finish(case, verdict)
}
